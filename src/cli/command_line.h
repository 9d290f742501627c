#pragma once
/// @file
/// Command line of walnutctl (getopt_long): a subcommand, its arguments and flags.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/resource/types.h"

namespace walnut::cli {

enum class Command : std::uint8_t { apply, get, watch, remove, status, drain, member, explain };
enum class OutputFormat : std::uint8_t { table, json };

/// What the command line asks for.
struct Invocation {
  enum class Mode : std::uint8_t { run, help, version };
  Mode mode = Mode::run;
  std::optional<Command> command;  ///< Absent only with `help` and `version`.
  std::vector<std::string> arguments;
  std::vector<base::Endpoint> controllers;
  OutputFormat output = OutputFormat::table;
  std::vector<std::string> files;
  std::optional<resource::Version> expectedVersion;
  bool anyVersion = false;  ///< The versions that stand in the files don't count.
  std::optional<resource::Version> from;
  std::optional<std::string> requestId;
  std::optional<std::string> request;  ///< Whose story is told.
  bool losses = false;                 ///< The account of what was lost is told.
  std::string reason;
  bool undo = false;
  /// For the answer to one try: above the five seconds after which a controller gives one.
  base::Duration timeout = std::chrono::seconds(7);
  std::uint64_t attempts = 8;  ///< Tries of one request, over all controllers.
  /// Between rounds over all controllers: about one election.
  base::Duration retryPause = std::chrono::milliseconds(500);
};

/// @param environmentControllers value of WALNUT_CONTROLLERS, or null; a flag wins over it.
/// @return `unknownField`, `missingField`, `wrongType`, `outOfRange` or `malformedInput`, naming
/// the flag or argument.
base::Result<Invocation> parseCommandLine(int argc, char** argv,
                                          const char* environmentControllers);

}  // namespace walnut::cli
