#include "cli/manifest.h"

#include <cerrno>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <system_error>
#include <utility>

#include "cli/yaml_value.h"
#include "http/resource_codec.h"
#include "resource/validation.h"

namespace walnut::cli {

using base::Error;
using base::ErrorCode;
using base::Result;

namespace {

constexpr const char* kStandardInput = "-";

/// Puts the place in front of an error.
Error atPlace(const std::string& place, const Error& error) {
  const std::string field = error.field.empty() ? "" : error.field + ": ";
  return Error{error.code, place, field + error.detail};
}

std::string placeOf(const std::string& fileName, const YAML::Node& root, const std::string& path) {
  return fileName + ":" + std::to_string(lineOf(root, path));
}

/// `version` is what `get` prints: it has the meaning of `expected_version`.
Result<std::optional<resource::Version>> decodeExpectedVersion(const http::JsonObject& object) {
  BOOST_OUTCOME_TRY(expected, object.optionalInteger("expected_version"));
  BOOST_OUTCOME_TRY(printed, object.optionalInteger("version"));
  if (expected && printed && *expected != *printed) {
    return Error{ErrorCode::outOfRange, "expected_version", "version and expected_version differ"};
  }
  return expected ? expected : printed;
}

Result<Declaration> decodeDeclaration(const YAML::Node& node) {
  BOOST_OUTCOME_TRY(json, jsonObjectOf(node));
  const http::JsonObject object(json);
  BOOST_OUTCOME_TRY(object.allowOnly({"kind", "name", "version", "expected_version", "spec"}));
  Declaration declaration;
  BOOST_OUTCOME_TRY(key, http::decodeKey(object));
  BOOST_OUTCOME_TRY(expectedVersion, decodeExpectedVersion(object));
  BOOST_OUTCOME_TRY(specObject, object.requiredObject("spec"));
  BOOST_OUTCOME_TRY(spec, http::decodeSpec(key.kind, specObject));
  BOOST_OUTCOME_TRY(resource::validate(resource::Resource{key, 0, spec}));
  declaration.key = std::move(key);
  declaration.spec = std::move(spec);
  declaration.expectedVersion = expectedVersion;
  return declaration;
}

/// Reads one document: a resource, or resources in a list.
Result<void> readDocument(const YAML::Node& document, const std::string& fileName,
                          std::vector<Declaration>& declarations) {
  if (document.IsNull()) {
    return base::success();
  }
  const bool isListing = document.IsMap() && document["resources"].IsDefined();
  const YAML::Node list = isListing ? document["resources"] : document;
  if (list.IsSequence()) {
    for (const YAML::Node& element : list) {
      BOOST_OUTCOME_TRY(readDocument(element, fileName, declarations));
    }
    return base::success();
  }
  auto declaration = decodeDeclaration(document);
  if (declaration.has_error()) {
    const Error& error = declaration.error();
    return atPlace(placeOf(fileName, document, error.field), error);
  }
  declaration.value().place = placeOf(fileName, document, "");
  declarations.push_back(std::move(declaration.value()));
  return base::success();
}

Result<std::string> readFile(const std::string& fileName) {
  try {
    if (fileName == kStandardInput) {
      return std::string(std::istreambuf_iterator<char>(std::cin),
                         std::istreambuf_iterator<char>());
    }
    std::ifstream file;
    file.exceptions(std::ios::failbit | std::ios::badbit);
    file.open(fileName, std::ios::binary);
    // The buffer's iterator throws when a read fails, as on a folder.
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  } catch (const std::ios_base::failure&) {
    return Error{ErrorCode::fileError, fileName, std::generic_category().message(errno)};
  }
}

Result<void> checkDeclaredOnce(const std::vector<Declaration>& declarations) {
  std::map<resource::Key, std::string> places;
  for (const Declaration& declaration : declarations) {
    const auto [former, isNew] = places.emplace(declaration.key, declaration.place);
    if (!isNew) {
      return Error{ErrorCode::malformedInput, declaration.place,
                   declaration.key.name + " is declared already at " + former->second};
    }
  }
  return base::success();
}

}  // namespace

Result<std::vector<Declaration>> parseManifest(std::string_view text, const std::string& fileName) {
  const auto documents = loadYaml(text);
  if (documents.has_error()) {
    const Error& error = documents.error();
    const std::string line = error.field.empty() ? "" : ":" + error.field;
    return Error{error.code, fileName + line, error.detail};
  }
  std::vector<Declaration> declarations;
  for (const YAML::Node& document : documents.value()) {
    BOOST_OUTCOME_TRY(readDocument(document, fileName, declarations));
  }
  return declarations;
}

Result<std::vector<Declaration>> readManifests(const std::vector<std::string>& fileNames) {
  std::vector<Declaration> all;
  for (const std::string& fileName : fileNames) {
    BOOST_OUTCOME_TRY(text, readFile(fileName));
    BOOST_OUTCOME_TRY(declarations, parseManifest(text, fileName));
    std::move(declarations.begin(), declarations.end(), std::back_inserter(all));
  }
  BOOST_OUTCOME_TRY(checkDeclaredOnce(all));
  if (all.empty()) {
    return Error{ErrorCode::missingField, fileNames.front(), "no resource is declared"};
  }
  return all;
}

}  // namespace walnut::cli
