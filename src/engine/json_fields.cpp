#include "engine/json_fields.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <charconv>
#include <sstream>

#include "walnut/engine/json_codec.h"

namespace walnut::engine {

namespace {

/// @return the position after the string that begins at `position`.
std::size_t skipString(std::string_view body, std::size_t position) {
  for (++position; position < body.size(); ++position) {
    if (body[position] == '\\') {
      ++position;
    } else if (body[position] == '"') {
      return position + 1;
    }
  }
  return body.size();
}

/// @return true if an integer literal does not fit 64 bits. The parser of POCO 1.11 takes such
/// literals and wraps them.
bool overflows(std::string_view literal) {
  const bool negative = literal.front() == '-';
  if (literal.find_first_of(".eE") != std::string_view::npos) {
    return false;
  }
  const char* end = literal.data() + literal.size();
  std::errc status{};
  if (negative) {
    std::int64_t value = 0;
    status = std::from_chars(literal.data(), end, value).ec;
  } else {
    std::uint64_t value = 0;
    status = std::from_chars(literal.data(), end, value).ec;
  }
  return status == std::errc::result_out_of_range;
}

/// Checks what the parser itself does not: nesting, and the size of integers.
base::Result<void> checkBody(std::string_view body) {
  std::size_t depth = 0;
  std::size_t position = 0;
  while (position < body.size()) {
    const char character = body[position];
    if (character == '"') {
      position = skipString(body, position);
      continue;
    }
    if (character == '-' || (character >= '0' && character <= '9')) {
      const std::size_t end = body.find_first_not_of("+-.eE0123456789", position);
      const std::string_view literal = body.substr(position, end - position);
      if (overflows(literal)) {
        return base::Error{base::ErrorCode::outOfRange, "", "integer of more than 64 bits"};
      }
      position += literal.size();
      continue;
    }
    if (character == '{' || character == '[') {
      ++depth;
    } else if ((character == '}' || character == ']') && depth > 0) {
      --depth;
    }
    if (depth > kMaxJsonDepth) {
      return base::Error{base::ErrorCode::inputTooLarge, "",
                         "nested deeper than " + std::to_string(kMaxJsonDepth)};
    }
    ++position;
  }
  return base::success();
}

}  // namespace

JsonReader::JsonReader(Poco::JSON::Object::Ptr object, std::string path,
                       std::optional<base::Error>& firstError)
    : object_(std::move(object)), path_(std::move(path)), firstError_(firstError) {}

std::string JsonReader::pathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

void JsonReader::fail(base::ErrorCode code, const std::string& name,
                      const std::string& detail) const {
  if (!firstError_) {
    firstError_ = base::Error{code, pathOf(name), detail};
  }
}

bool JsonReader::has(const std::string& name) const {
  return object_ && object_->has(name) && !object_->isNull(name);
}

Poco::Dynamic::Var JsonReader::required(const std::string& name) const {
  if (!object_) {
    return {};
  }
  if (!object_->has(name)) {
    fail(base::ErrorCode::missingField, name, "required");
    return {};
  }
  return object_->get(name);
}

std::string JsonReader::stringOf(const Poco::Dynamic::Var& value, const std::string& name) const {
  if (!value.isString()) {
    fail(base::ErrorCode::wrongType, name, "expected a string");
    return {};
  }
  return value.extract<std::string>();
}

bool JsonReader::booleanOf(const Poco::Dynamic::Var& value, const std::string& name) const {
  if (!value.isBoolean()) {
    fail(base::ErrorCode::wrongType, name, "expected true or false");
    return false;
  }
  return value.extract<bool>();
}

std::uint64_t JsonReader::unsignedOf(const Poco::Dynamic::Var& value,
                                     const std::string& name) const {
  if (value.isBoolean() || !value.isInteger()) {
    fail(base::ErrorCode::wrongType, name, "expected an integer");
    return 0;
  }
  if (value.isSigned() && value.convert<std::int64_t>() < 0) {
    fail(base::ErrorCode::outOfRange, name, "must not be negative");
    return 0;
  }
  return value.convert<std::uint64_t>();
}

std::string JsonReader::string(const std::string& name) const {
  return stringOf(required(name), name);
}

std::string JsonReader::stringOr(const std::string& name, std::string fallback) const {
  return has(name) ? string(name) : std::move(fallback);
}

bool JsonReader::boolean(const std::string& name) const { return booleanOf(required(name), name); }

bool JsonReader::booleanOr(const std::string& name, bool fallback) const {
  return has(name) ? boolean(name) : fallback;
}

std::uint64_t JsonReader::unsignedInteger(const std::string& name, std::uint64_t high) const {
  const std::uint64_t value = unsignedOf(required(name), name);
  if (value > high) {
    fail(base::ErrorCode::outOfRange, name, "at most " + std::to_string(high));
    return 0;
  }
  return value;
}

std::uint32_t JsonReader::unsigned32(const std::string& name) const {
  return static_cast<std::uint32_t>(
      unsignedInteger(name, std::numeric_limits<std::uint32_t>::max()));
}

std::uint16_t JsonReader::unsigned16(const std::string& name) const {
  return static_cast<std::uint16_t>(
      unsignedInteger(name, std::numeric_limits<std::uint16_t>::max()));
}

std::int64_t JsonReader::signedInteger(const std::string& name) const {
  const Poco::Dynamic::Var value = required(name);
  if (value.isEmpty() || value.isBoolean() || !value.isInteger()) {
    fail(base::ErrorCode::wrongType, name, "expected an integer");
    return 0;
  }
  if (!value.isSigned() && value.convert<std::uint64_t>() >
                               static_cast<std::uint64_t>(std::numeric_limits<int64_t>::max())) {
    fail(base::ErrorCode::outOfRange, name, "does not fit 64 signed bits");
    return 0;
  }
  return value.convert<std::int64_t>();
}

std::vector<std::uint64_t> JsonReader::unsignedIntegers(const std::string& name) const {
  const Poco::Dynamic::Var value = required(name);
  if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
    fail(base::ErrorCode::wrongType, name, "expected an array");
    return {};
  }
  std::vector<std::uint64_t> integers;
  const auto& array = value.extract<Poco::JSON::Array::Ptr>();
  for (std::size_t index = 0; index < array->size(); ++index) {
    integers.push_back(unsignedOf(array->get(static_cast<unsigned>(index)),
                                  name + "[" + std::to_string(index) + "]"));
  }
  return integers;
}

std::size_t JsonReader::choice(const std::string& name,
                               const std::vector<std::string>& names) const {
  const std::string value = string(name);
  const auto found = std::find(names.begin(), names.end(), value);
  if (found != names.end()) {
    return static_cast<std::size_t>(found - names.begin());
  }
  std::string accepted;
  for (const std::string& candidate : names) {
    accepted += accepted.empty() ? candidate : ", " + candidate;
  }
  fail(base::ErrorCode::outOfRange, name, "one of " + accepted);
  return 0;
}

JsonReader JsonReader::object(const std::string& name) const {
  const Poco::Dynamic::Var value = required(name);
  if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
    fail(base::ErrorCode::wrongType, name, "expected an object");
    return {nullptr, pathOf(name), firstError_};
  }
  return {value.extract<Poco::JSON::Object::Ptr>(), pathOf(name), firstError_};
}

std::vector<JsonReader> JsonReader::objects(const std::string& name) const {
  const Poco::Dynamic::Var value = required(name);
  if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
    fail(base::ErrorCode::wrongType, name, "expected an array");
    return {};
  }
  std::vector<JsonReader> readers;
  const auto& array = value.extract<Poco::JSON::Array::Ptr>();
  for (std::size_t index = 0; index < array->size(); ++index) {
    const std::string element = name + "[" + std::to_string(index) + "]";
    const auto object = array->getObject(static_cast<unsigned>(index));
    if (object.isNull()) {
      fail(base::ErrorCode::wrongType, element, "expected an object");
      return {};
    }
    readers.emplace_back(object, pathOf(element), firstError_);
  }
  return readers;
}

base::Result<Poco::JSON::Object::Ptr> parseJsonObject(std::string_view body) {
  if (body.size() > kMaxJsonBytes) {
    return base::Error{base::ErrorCode::inputTooLarge, "",
                       "body of more than " + std::to_string(kMaxJsonBytes) + " bytes"};
  }
  auto checked = checkBody(body);
  if (checked.has_error()) {
    return checked.error();
  }
  try {
    Poco::JSON::Parser parser;
    const Poco::Dynamic::Var root = parser.parse(std::string(body));
    if (root.type() != typeid(Poco::JSON::Object::Ptr)) {
      return base::Error{base::ErrorCode::wrongType, "", "expected an object"};
    }
    return root.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& exception) {
    return base::Error{base::ErrorCode::malformedInput, "", exception.displayText()};
  } catch (const std::exception& exception) {
    return base::Error{base::ErrorCode::malformedInput, "", exception.what()};
  }
}

std::string stringifyJson(const Poco::JSON::Object& object) {
  std::ostringstream stream;
  object.stringify(stream);
  return stream.str();
}

}  // namespace walnut::engine
