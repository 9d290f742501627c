#include "http/json_object.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "engine/json_fields.h"

namespace walnut::http {

using base::Error;
using base::ErrorCode;
using base::Result;
using Poco::Dynamic::Var;

namespace {

bool isWholeNumber(const Var& value) {
  return !value.isBoolean() && !value.isString() && value.isInteger();
}

bool isNumber(const Var& value) {
  return !value.isBoolean() && !value.isString() && value.isNumeric();
}

std::string rangeText(const IntegerRange& range) {
  return "accepted: " + std::to_string(range.low) + " .. " + std::to_string(range.high);
}

}  // namespace

JsonObject::JsonObject(Poco::JSON::Object::Ptr object, std::string path)
    : object_(std::move(object)), path_(std::move(path)) {}

Result<JsonObject> JsonObject::parse(std::string_view text, std::size_t maxBytes) {
  if (text.size() > maxBytes) {
    return Error{ErrorCode::inputTooLarge, "body",
                 "accepted: up to " + std::to_string(maxBytes) + " bytes"};
  }
  auto object = engine::parseJsonObject(text);
  if (!object) {
    return Error{object.error().code, "body", object.error().detail};
  }
  return JsonObject(std::move(object.value()));
}

bool JsonObject::has(const std::string& name) const {
  return object_->has(name) && !object_->isNull(name);
}

bool JsonObject::isString(const std::string& name) const {
  return has(name) && object_->get(name).isString();
}

bool JsonObject::isArray(const std::string& name) const { return object_->isArray(name); }

std::string JsonObject::pathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

Error JsonObject::wrongType(const std::string& name, const char* expected) const {
  return Error{ErrorCode::wrongType, pathOf(name), std::string("expected ") + expected};
}

Error JsonObject::missing(const std::string& name) const {
  return Error{ErrorCode::missingField, pathOf(name), "required"};
}

Result<std::optional<std::string>> JsonObject::optionalString(const std::string& name) const {
  if (!has(name)) {
    return std::optional<std::string>();
  }
  const Var value = object_->get(name);
  if (!value.isString()) {
    return wrongType(name, "a string");
  }
  return std::optional<std::string>(value.extract<std::string>());
}

Result<std::optional<std::uint64_t>> JsonObject::optionalInteger(const std::string& name,
                                                                 const IntegerRange& range) const {
  if (!has(name)) {
    return std::optional<std::uint64_t>();
  }
  const Var value = object_->get(name);
  if (!isWholeNumber(value)) {
    return wrongType(name, "a whole number");
  }
  const Error outOfRange{ErrorCode::outOfRange, pathOf(name), rangeText(range)};
  try {
    const auto number = value.convert<std::uint64_t>();
    if (number < range.low || number > range.high) {
      return outOfRange;
    }
    return std::optional<std::uint64_t>(number);
  } catch (const Poco::Exception&) {
    return outOfRange;
  }
}

Result<std::optional<double>> JsonObject::optionalReal(const std::string& name, double low,
                                                       double high) const {
  if (!has(name)) {
    return std::optional<double>();
  }
  const Var value = object_->get(name);
  if (!isNumber(value)) {
    return wrongType(name, "a number");
  }
  const auto number = value.convert<double>();
  if (!(number >= low && number <= high)) {
    std::ostringstream accepted;
    accepted << "accepted: " << low << " .. " << high;
    return Error{ErrorCode::outOfRange, pathOf(name), accepted.str()};
  }
  return std::optional<double>(number);
}

Result<std::optional<bool>> JsonObject::optionalBoolean(const std::string& name) const {
  if (!has(name)) {
    return std::optional<bool>();
  }
  const Var value = object_->get(name);
  if (!value.isBoolean()) {
    return wrongType(name, "true or false");
  }
  return std::optional<bool>(value.extract<bool>());
}

Result<std::optional<JsonObject>> JsonObject::optionalObject(const std::string& name) const {
  if (!has(name)) {
    return std::optional<JsonObject>();
  }
  if (!object_->isObject(name)) {
    return wrongType(name, "an object");
  }
  return std::optional<JsonObject>(JsonObject(object_->getObject(name), pathOf(name)));
}

Result<std::optional<std::vector<JsonObject>>> JsonObject::optionalObjects(
    const std::string& name) const {
  if (!has(name)) {
    return std::optional<std::vector<JsonObject>>();
  }
  if (!object_->isArray(name)) {
    return wrongType(name, "an array of objects");
  }
  const Poco::JSON::Array::Ptr array = object_->getArray(name);
  std::vector<JsonObject> objects;
  for (unsigned index = 0; index < array->size(); ++index) {
    const std::string element = name + "[" + std::to_string(index) + "]";
    if (!array->isObject(index)) {
      return wrongType(element, "an object");
    }
    objects.emplace_back(array->getObject(index), pathOf(element));
  }
  return std::optional<std::vector<JsonObject>>(std::move(objects));
}

Result<std::optional<std::vector<std::string>>> JsonObject::optionalStrings(
    const std::string& name) const {
  if (!has(name)) {
    return std::optional<std::vector<std::string>>();
  }
  if (!object_->isArray(name)) {
    return wrongType(name, "an array of strings");
  }
  const Poco::JSON::Array::Ptr array = object_->getArray(name);
  std::vector<std::string> strings;
  for (unsigned index = 0; index < array->size(); ++index) {
    const Var value = array->get(index);
    if (value.isEmpty() || !value.isString()) {
      return wrongType(name + "[" + std::to_string(index) + "]", "a string");
    }
    strings.push_back(value.extract<std::string>());
  }
  return std::optional<std::vector<std::string>>(std::move(strings));
}

Result<std::string> JsonObject::requiredString(const std::string& name) const {
  BOOST_OUTCOME_TRY(value, optionalString(name));
  if (!value) {
    return missing(name);
  }
  return std::move(*value);
}

Result<std::uint64_t> JsonObject::requiredInteger(const std::string& name,
                                                  const IntegerRange& range) const {
  BOOST_OUTCOME_TRY(value, optionalInteger(name, range));
  if (!value) {
    return missing(name);
  }
  return *value;
}

Result<JsonObject> JsonObject::requiredObject(const std::string& name) const {
  BOOST_OUTCOME_TRY(value, optionalObject(name));
  if (!value) {
    return missing(name);
  }
  return std::move(*value);
}

Result<std::vector<JsonObject>> JsonObject::requiredObjects(const std::string& name) const {
  BOOST_OUTCOME_TRY(value, optionalObjects(name));
  if (!value) {
    return missing(name);
  }
  return std::move(*value);
}

Result<void> JsonObject::allowOnly(std::initializer_list<std::string_view> names) const {
  for (const std::string& name : object_->getNames()) {
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      return Error{ErrorCode::unknownField, pathOf(name), "not a field of this object"};
    }
  }
  return base::success();
}

}  // namespace walnut::http
