#pragma once
/// @file
/// Bounded JSON reading over Poco::JSON: size and nesting are checked before parsing, and every
/// typed access reports the full path of the field it failed on.

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/engine/json_codec.h"

namespace walnut::http {

/// Inclusive bounds of an integer field.
struct IntegerRange {
  std::uint64_t low = 0;
  std::uint64_t high = UINT64_MAX;
};

/// Read-only view of a JSON object. A field whose value is `null` counts as absent. Accessors
/// return `missingField`, `wrongType` or `outOfRange` with the path of the field, for example
/// `spec.max_replicas`.
class JsonObject {
 public:
  /// Parses a document whose root is an object.
  /// @param maxBytes at most engine::kMaxJsonBytes; nesting is bounded by engine::kMaxJsonDepth.
  /// @return `inputTooLarge`, `malformedInput`, or `wrongType` if the root is not an object.
  static base::Result<JsonObject> parse(std::string_view text,
                                        std::size_t maxBytes = engine::kMaxJsonBytes);

  /// Wraps an object that is already in memory; `path` is prefixed to the names in errors.
  explicit JsonObject(Poco::JSON::Object::Ptr object, std::string path = "");

  bool has(const std::string& name) const;

  base::Result<std::string> requiredString(const std::string& name) const;
  base::Result<std::uint64_t> requiredInteger(const std::string& name,
                                              const IntegerRange& range = {}) const;
  base::Result<JsonObject> requiredObject(const std::string& name) const;
  base::Result<std::vector<JsonObject>> requiredObjects(const std::string& name) const;

  base::Result<std::optional<std::string>> optionalString(const std::string& name) const;
  base::Result<std::optional<std::uint64_t>> optionalInteger(const std::string& name,
                                                             const IntegerRange& range = {}) const;
  base::Result<std::optional<double>> optionalReal(const std::string& name, double low,
                                                   double high) const;
  base::Result<std::optional<bool>> optionalBoolean(const std::string& name) const;
  base::Result<std::optional<JsonObject>> optionalObject(const std::string& name) const;
  base::Result<std::optional<std::vector<JsonObject>>> optionalObjects(
      const std::string& name) const;
  base::Result<std::optional<std::vector<std::string>>> optionalStrings(
      const std::string& name) const;

  /// @return true if the field holds a string; to choose between accepted types.
  bool isString(const std::string& name) const;
  /// @return true if the field holds an array; to choose between accepted types.
  bool isArray(const std::string& name) const;

  /// @return `unknownField` for the first field that is not among `names`.
  base::Result<void> allowOnly(std::initializer_list<std::string_view> names) const;

  /// @return the full path of a field, as named in errors.
  std::string pathOf(const std::string& name) const;

 private:
  base::Error wrongType(const std::string& name, const char* expected) const;
  base::Error missing(const std::string& name) const;

  Poco::JSON::Object::Ptr object_;
  std::string path_;
};

}  // namespace walnut::http
