#include "cli/yaml_value.h"

#include <Poco/JSON/Array.h>

#include <charconv>
#include <utility>

#include "walnut/engine/json_codec.h"

namespace walnut::cli {

using base::Error;
using base::ErrorCode;
using base::Result;
using Poco::Dynamic::Var;

namespace {

/// Tag that yaml-cpp gives to a scalar without quotes and without a tag of its own.
constexpr const char* kPlainTag = "?";

/// Most nodes of a file once its aliases are followed; no sound file comes near it.
constexpr std::size_t kMaxNodes = 1'000'000;

/// Follows aliases as far as a reader of the tree would: an alias may hold itself, or double what
/// is below it at each level.
Result<void> checkExtent(const YAML::Node& node, std::size_t depth, std::size_t& remaining) {
  if (depth > engine::kMaxJsonDepth || remaining == 0) {
    return Error{ErrorCode::malformedInput, std::to_string(node.Mark().line + 1),
                 remaining == 0 ? "too many nodes" : "nested too deep"};
  }
  --remaining;
  for (const auto& child : node) {
    // A child of a sequence is a node, one of a map a pair of nodes.
    if (node.IsMap()) {
      BOOST_OUTCOME_TRY(checkExtent(child.first, depth + 1, remaining));
      BOOST_OUTCOME_TRY(checkExtent(child.second, depth + 1, remaining));
    } else {
      BOOST_OUTCOME_TRY(checkExtent(child, depth + 1, remaining));
    }
  }
  return base::success();
}

Result<void> readValue(const YAML::Node& node, Var& value);

/// @return true if the text as a whole is a number of this type.
template <class Number>
bool isNumber(const std::string& text, Number& value) {
  const char* const end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, value);
  return failure == std::errc() && rest == end;
}

Var scalarOf(const YAML::Node& node) {
  const std::string& text = node.Scalar();
  if (node.Tag() != kPlainTag) {
    return text;
  }
  if (text == "true" || text == "false") {
    return text == "true";
  }
  std::int64_t whole = 0;
  std::uint64_t large = 0;
  double real = 0;
  if (isNumber(text, whole)) {
    return whole;
  }
  if (isNumber(text, large)) {
    return large;
  }
  // A text such as "inf" or "nan" is a number to the C++ library but not to JSON.
  const bool numeric = text.find_first_not_of("+-.eE0123456789") == std::string::npos;
  if (numeric && isNumber(text, real)) {
    return real;
  }
  return text;
}

Result<void> readSequence(const YAML::Node& node, Var& value) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const YAML::Node& child : node) {
    Var element;
    BOOST_OUTCOME_TRY(readValue(child, element));
    array->add(element);
  }
  value = array;
  return base::success();
}

Result<Poco::JSON::Object::Ptr> readMap(const YAML::Node& node) {
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
  for (const auto& pair : node) {
    if (!pair.first.IsScalar()) {
      return Error{ErrorCode::wrongType, "", "a key is not a text"};
    }
    const std::string& key = pair.first.Scalar();
    if (object->has(key)) {
      return Error{ErrorCode::malformedInput, key, "the key is given twice"};
    }
    Var value;
    BOOST_OUTCOME_TRY(readValue(pair.second, value));
    object->set(key, value);
  }
  return object;
}

/// Result<Var> can't be used in its place: a Var is made from any type, an Error too.
Result<void> readValue(const YAML::Node& node, Var& value) {
  if (node.IsMap()) {
    BOOST_OUTCOME_TRY(object, readMap(node));
    value = object;
    return base::success();
  }
  if (node.IsSequence()) {
    return readSequence(node, value);
  }
  value = node.IsScalar() ? scalarOf(node) : Var();
  return base::success();
}

/// One step of a path: a key or an index.
struct PathStep {
  std::string key;
  std::size_t index = 0;
  bool isIndex = false;
};

/// Splits `spec.zones[1]` into its steps.
std::vector<PathStep> stepsOf(const std::string& path) {
  std::vector<PathStep> steps;
  std::size_t position = 0;
  while (position < path.size()) {
    const std::size_t end = std::min(path.find_first_of(".[", position), path.size());
    if (end > position) {
      steps.push_back({path.substr(position, end - position), 0, false});
    }
    position = end + 1;
    if (end < path.size() && path[end] == '[') {
      std::size_t index = 0;
      std::from_chars(path.data() + position, path.data() + path.size(), index);
      steps.push_back({"", index, true});
      position = std::min(path.find(']', position), path.size() - 1) + 1;
    }
  }
  return steps;
}

}  // namespace

Result<std::vector<YAML::Node>> loadYaml(std::string_view text) {
  if (text.size() > kMaxFileBytes) {
    return Error{ErrorCode::inputTooLarge, "", "accepted: up to 4 MiB"};
  }
  try {
    // yaml-cpp takes the end of line before the end of the text as the end of an open quote.
    const std::size_t end = text.find_last_not_of(" \t\r\n");
    const std::size_t length = end == std::string_view::npos ? 0 : end + 1;
    std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text.substr(0, length)));
    std::size_t remaining = kMaxNodes;
    for (const YAML::Node& document : documents) {
      BOOST_OUTCOME_TRY(checkExtent(document, 0, remaining));
    }
    return documents;
  } catch (const YAML::Exception& exception) {
    return Error{ErrorCode::malformedInput, std::to_string(exception.mark.line + 1), exception.msg};
  }
}

Result<Poco::JSON::Object::Ptr> jsonObjectOf(const YAML::Node& node) {
  if (!node.IsMap()) {
    return Error{ErrorCode::wrongType, "", "expected a map with kind, name and spec"};
  }
  return readMap(node);
}

int lineOf(const YAML::Node& root, const std::string& path) {
  YAML::Node node;
  node.reset(root);
  YAML::Mark mark = root.Mark();
  for (const PathStep& step : stepsOf(path)) {
    YAML::Node next;
    if (step.isIndex && node.IsSequence() && step.index < node.size()) {
      next.reset(std::as_const(node)[step.index]);
      mark = next.Mark();
    } else if (!step.isIndex && node.IsMap()) {
      for (const auto& pair : node) {
        if (pair.first.IsScalar() && pair.first.Scalar() == step.key) {
          mark = pair.first.Mark();
          next.reset(pair.second);
        }
      }
    }
    if (!next.IsDefined() || next.IsNull()) {
      break;
    }
    node.reset(next);
  }
  return mark.line + 1;
}

}  // namespace walnut::cli
