#pragma once
/// @file
/// YAML as JSON: so that files are decoded by the same code as the bodies of the API, and errors
/// still name the line.

#include <Poco/JSON/Object.h>
#include <yaml-cpp/yaml.h>

#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/error.h"

namespace walnut::cli {

/// Largest file that is read, in bytes.
inline constexpr std::size_t kMaxFileBytes = 4U << 20U;

/// @return the documents of the text.
/// Errors: `inputTooLarge`; `malformedInput` with the line in `field`, also for a document that is
/// too deep or, by its aliases, too large.
base::Result<std::vector<YAML::Node>> loadYaml(std::string_view text);

/// @return the map as a JSON object. Plain scalars become null, booleans and numbers by the rules
/// of JSON; quoted ones stay strings.
/// @return `wrongType` if it is no map, `malformedInput` for a key given twice.
base::Result<Poco::JSON::Object::Ptr> jsonObjectOf(const YAML::Node& node);

/// @return the line, from 1, of the field with a path as in errors (`spec.zones[1]`), or of the
/// innermost part of it that is there.
int lineOf(const YAML::Node& root, const std::string& path);

}  // namespace walnut::cli
