#pragma once
/// @file
/// Files of declared resources, as `walnutctl apply` reads them.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/resource/types.h"

namespace walnut::cli {

/// One declared resource and where it stands.
struct Declaration {
  resource::Key key;
  resource::Spec spec;
  std::optional<resource::Version> expectedVersion;
  std::string place;  ///< FILE:LINE
};

/// Reads the declarations of a text: documents of one resource each, lists of resources, or maps
/// with a list under `resources`.
/// @return an error whose `field` is FILE:LINE or FILE, and whose detail names the field.
base::Result<std::vector<Declaration>> parseManifest(std::string_view text,
                                                     const std::string& fileName);

/// Reads files, `-` being the standard input.
/// @return `malformedInput` too if a resource is declared twice; `fileError`.
base::Result<std::vector<Declaration>> readManifests(const std::vector<std::string>& fileNames);

}  // namespace walnut::cli
