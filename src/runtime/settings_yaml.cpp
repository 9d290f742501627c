/// @file
/// Settings from a YAML document (yaml-cpp).

#include <yaml-cpp/yaml.h>

#include <set>

#include "walnut/runtime/settings.h"

namespace walnut::runtime {

namespace {

using base::Error;
using base::ErrorCode;
using base::Result;

/// @return "FILE:LINE"; yaml-cpp counts lines from zero.
std::string location(const std::string& fileName, const YAML::Mark& mark) {
  return fileName + ":" + std::to_string(mark.line + 1);
}

/// @return the texts of a scalar, or of a list of scalars if the key takes a list.
Result<std::vector<std::string>> readValues(const YAML::Node& node, bool list) {
  if (!list) {
    if (!node.IsScalar()) {
      return Error{ErrorCode::wrongType, "", "one value is expected"};
    }
    return std::vector<std::string>{node.Scalar()};
  }
  if (!node.IsSequence()) {
    return Error{ErrorCode::wrongType, "", "a list is expected"};
  }
  std::vector<std::string> values;
  for (const YAML::Node& item : node) {
    if (!item.IsScalar()) {
      return Error{ErrorCode::wrongType, "", "an item of the list is not one value"};
    }
    values.push_back(item.Scalar());
  }
  return values;
}

std::string describeValue(const YAML::Node& node) {
  return node.IsScalar() ? "'" + node.Scalar() + "'" : "the value";
}

/// @return the single document of the text.
Result<YAML::Node> loadDocument(const std::string& text, const std::string& fileName) {
  try {
    // yaml-cpp accepts a line break at the end of the text as the end of an open quote.
    const std::string trimmed = text.substr(0, text.find_last_not_of(" \t\r\n") + 1);
    const std::vector<YAML::Node> documents = YAML::LoadAll(trimmed);
    if (documents.size() > 1) {
      return Error{ErrorCode::malformedInput, fileName, "more than one document"};
    }
    return documents.empty() ? YAML::Node() : documents.front();
  } catch (const YAML::Exception& exception) {
    return Error{ErrorCode::malformedInput, fileName,
                 location(fileName, exception.mark) + ": " + exception.msg};
  }
}

}  // namespace

Result<void> Settings::applyYaml(const std::string& text, const std::string& fileName) {
  BOOST_OUTCOME_TRY(document, loadDocument(text, fileName));
  if (document.IsNull()) {
    return base::success();
  }
  if (!document.IsMap()) {
    return Error{ErrorCode::wrongType, fileName,
                 location(fileName, document.Mark()) + ": a map of keys is expected"};
  }
  std::set<std::string> seen;
  for (const auto& pair : document) {
    const std::string place = location(fileName, pair.first.Mark());
    if (!pair.first.IsScalar()) {
      return Error{ErrorCode::wrongType, fileName, place + ": a key is not a text"};
    }
    const std::string& name = pair.first.Scalar();
    const Key* key = find(name);
    if (key == nullptr) {
      return Error{ErrorCode::unknownField, name, place + ": no such key"};
    }
    if (!seen.insert(name).second) {
      return Error{ErrorCode::malformedInput, name, place + ": the key is given twice"};
    }
    const auto values = readValues(pair.second, key->list);
    const Result<void> assigned =
        values.has_value() ? key->assign(values.value()) : Result<void>(values.error());
    if (assigned.has_error()) {
      return Error{assigned.error().code, name,
                   place + ": " + describeValue(pair.second) + ": " + assigned.error().detail +
                       "; accepted: " + key->range};
    }
  }
  return base::success();
}

}  // namespace walnut::runtime
