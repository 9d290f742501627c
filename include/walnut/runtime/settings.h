#pragma once
/// @file
/// Validated settings from a YAML file and from command line flags, which override it. Each program
/// declares its keys; an unknown key, a wrong type or a value out of range is refused with file,
/// line, key and accepted range before anything starts.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::runtime {

/// Exit codes of all programs; docs/OPERATIONS.md lists them.
enum class ExitCode : int {
  ok = 0,
  failed = 1,         ///< The work was done, with a negative result.
  usage = 2,          ///< The flags are invalid.
  badSettings = 3,    ///< The settings were refused.
  unavailable = 4,    ///< An address could not be reached or bound.
  conflict = 5,       ///< walnutctl: version conflict.
  notFound = 6,       ///< walnutctl: no such resource.
  storageFailed = 7,  ///< The data folder can't be used.
  internal = 70,
};

/// Registry of the keys of one program. Each `add` binds a key to a variable that holds its
/// default. A key `probe-interval-ms` is both the YAML key and the flag `--probe-interval-ms`.
/// `help` is one line that states the unit.
class Settings {
 public:
  Settings(std::string program, std::string summary);

  void addString(const std::string& key, std::string& value, const std::string& help);
  void addChoice(const std::string& key, std::string& value, std::vector<std::string> choices,
                 const std::string& help);
  void addInteger(const std::string& key, std::int64_t& value, std::int64_t low, std::int64_t high,
                  const std::string& help);
  void addReal(const std::string& key, double& value, double low, double high,
               const std::string& help);
  void addBoolean(const std::string& key, bool& value, const std::string& help);
  /// Adds a duration that is given in milliseconds.
  void addMillis(const std::string& key, base::Duration& value, std::int64_t low, std::int64_t high,
                 const std::string& help);
  void addEndpoint(const std::string& key, base::Endpoint& value, const std::string& help);
  /// Adds a list of texts: a list in YAML, comma-separated as a flag.
  void addStringList(const std::string& key, std::vector<std::string>& value,
                     const std::string& help);
  void addEndpointList(const std::string& key, std::vector<base::Endpoint>& value,
                       const std::string& help);

  /// What `parse` returns in addition to the settings that it assigns.
  struct Parsed {
    bool exitNow = false;  ///< --help, --version or --check-settings was handled.
    ExitCode exitCode = ExitCode::ok;
    std::vector<std::string> positional;
  };

  /// Reads `--settings FILE` if given, then the flags, which override it (getopt_long). Prints
  /// help, version or the typed error itself; on an error `exitNow` is set and nothing may be
  /// started.
  Parsed parse(int argc, char** argv);

  /// Applies a YAML document; for tests and `--settings`. Errors name file, line and key.
  base::Result<void> applyYaml(const std::string& text, const std::string& fileName);

 private:
  struct Key {
    std::string name;
    std::string help;
    std::string range;  ///< Accepted values, as shown in errors and help.
    std::string defaultText;
    bool list = false;
    std::function<base::Result<void>(const std::vector<std::string>& values)> assign;
  };

  Key* find(const std::string& name);
  void printHelp() const;

  std::string program_;
  std::string summary_;
  std::vector<Key> keys_;
};

/// @return the endpoint given as "ADDRESS:PORT"; the address must be an IP number.
base::Result<base::Endpoint> parseEndpoint(const std::string& text);
std::string formatEndpoint(const base::Endpoint& endpoint);

}  // namespace walnut::runtime
