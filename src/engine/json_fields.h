#pragma once
/// @file
/// Typed access to the fields of a JSON body. A reader keeps the first error of the whole body, so
/// that a decoder reads all fields in a row and checks once at the end.

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "walnut/base/error.h"

namespace walnut::engine {

/// Reads the fields of one JSON object. Keys that are never asked for are ignored, so that either
/// side may add fields. On an error the accessors return an empty value and the first error is kept
/// with the full path of the field, e.g. `held[2].servable.model`.
class JsonReader {
 public:
  /// @param object the object to read; null if an error was already found.
  /// @param path path of the object within the body; empty for the body itself.
  /// @param firstError outlives the reader.
  JsonReader(Poco::JSON::Object::Ptr object, std::string path,
             std::optional<base::Error>& firstError);

  /// @return true if the field is there and not null.
  bool has(const std::string& name) const;

  std::string string(const std::string& name) const;
  std::string stringOr(const std::string& name, std::string fallback) const;
  bool boolean(const std::string& name) const;
  bool booleanOr(const std::string& name, bool fallback) const;
  /// @return an integer in [0, `high`]; exact over the whole range.
  std::uint64_t unsignedInteger(
      const std::string& name,
      std::uint64_t high = std::numeric_limits<std::uint64_t>::max()) const;
  std::uint32_t unsigned32(const std::string& name) const;
  std::uint16_t unsigned16(const std::string& name) const;
  std::int64_t signedInteger(const std::string& name) const;
  std::vector<std::uint64_t> unsignedIntegers(const std::string& name) const;
  /// @return the index of the field's value in `names`.
  std::size_t choice(const std::string& name, const std::vector<std::string>& names) const;

  JsonReader object(const std::string& name) const;
  std::vector<JsonReader> objects(const std::string& name) const;

  /// Keeps an error about `name`, unless there is one already.
  void fail(base::ErrorCode code, const std::string& name, const std::string& detail) const;

 private:
  Poco::Dynamic::Var required(const std::string& name) const;
  std::string pathOf(const std::string& name) const;
  std::string stringOf(const Poco::Dynamic::Var& value, const std::string& name) const;
  bool booleanOf(const Poco::Dynamic::Var& value, const std::string& name) const;
  std::uint64_t unsignedOf(const Poco::Dynamic::Var& value, const std::string& name) const;

  Poco::JSON::Object::Ptr object_;
  std::string path_;
  std::optional<base::Error>& firstError_;
};

/// Parses a body whose root is an object. Size (`kMaxJsonBytes`) and nesting (`kMaxJsonDepth`) are
/// checked before anything is parsed.
/// @return `inputTooLarge`, `malformedInput` or `wrongType` (root is no object).
base::Result<Poco::JSON::Object::Ptr> parseJsonObject(std::string_view body);

/// @return the object as one line of JSON.
std::string stringifyJson(const Poco::JSON::Object& object);

/// Parses `body` and reads a value from it.
/// @param read called with the reader of the root object; returns the value.
template <class Read>
auto decodeJson(std::string_view body, Read read)
    -> base::Result<decltype(read(std::declval<const JsonReader&>()))> {
  auto parsed = parseJsonObject(body);
  if (parsed.has_error()) {
    return parsed.error();
  }
  std::optional<base::Error> firstError;
  const JsonReader reader(parsed.value(), "", firstError);
  auto value = read(reader);
  if (firstError) {
    return *firstError;
  }
  return value;
}

}  // namespace walnut::engine
