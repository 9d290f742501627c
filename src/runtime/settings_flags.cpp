/// @file
/// Settings from the command line (getopt_long), which override those of a file.

#include <getopt.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <set>
#include <system_error>

#include "walnut/runtime/settings.h"

namespace walnut::runtime {

namespace {

using base::Error;
using base::ErrorCode;
using base::Result;

constexpr const char* kSettingsFlag = "settings";
constexpr const char* kHelpFlag = "help";
constexpr const char* kVersionFlag = "version";
constexpr const char* kCheckFlag = "check-settings";

/// One flag from the command line.
struct FlagValue {
  std::string name;
  std::string value;
};

/// The parsed command line, not yet applied to the settings.
struct CommandLine {
  bool help = false;
  bool version = false;
  bool check = false;
  std::optional<std::string> settingsFile;
  std::vector<FlagValue> flags;
  std::vector<std::string> positional;
};

std::vector<option> makeOptions(const std::vector<std::string>& keys) {
  std::vector<option> options = {{kSettingsFlag, required_argument, nullptr, 0},
                                 {kHelpFlag, no_argument, nullptr, 0},
                                 {kVersionFlag, no_argument, nullptr, 0},
                                 {kCheckFlag, no_argument, nullptr, 0}};
  for (const std::string& key : keys) {
    options.push_back({key.c_str(), required_argument, nullptr, 0});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

void storeFlag(CommandLine& line, const std::string& name, const char* argument) {
  if (name == kHelpFlag) {
    line.help = true;
  } else if (name == kVersionFlag) {
    line.version = true;
  } else if (name == kCheckFlag) {
    line.check = true;
  } else if (name == kSettingsFlag) {
    line.settingsFile = argument;
  } else {
    line.flags.push_back({name, argument});
  }
}

Result<CommandLine> readCommandLine(int argc, char** argv, const std::vector<std::string>& keys) {
  const std::vector<option> options = makeOptions(keys);
  CommandLine line;
  std::set<std::string> seen;
  optind = 0;  // With GNU getopt 0 restarts the scan, so that tests can parse more than once.
  opterr = 0;
  int index = 0;
  // With a leading ':' getopt reports a missing argument differently from an unknown flag.
  int found = getopt_long(argc, argv, ":", options.data(), &index);
  while (found != -1) {
    if (found != 0) {
      const ErrorCode code = found == ':' ? ErrorCode::missingField : ErrorCode::unknownField;
      const char* const detail = found == ':' ? "the flag needs a value" : "no such flag";
      return Error{code, argv[optind - 1], detail};
    }
    const std::string name = options[static_cast<std::size_t>(index)].name;
    if (!seen.insert(name).second) {
      return Error{ErrorCode::malformedInput, "--" + name, "the flag is given twice"};
    }
    storeFlag(line, name, optarg);
    found = getopt_long(argc, argv, ":", options.data(), &index);
  }
  line.positional.assign(argv + optind, argv + argc);
  return line;
}

Result<std::string> readFile(const std::string& fileName) {
  try {
    std::ifstream file;
    file.exceptions(std::ios::failbit | std::ios::badbit);
    file.open(fileName, std::ios::binary);
    // The buffer's iterator throws when a read fails, for example on a directory.
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  } catch (const std::ios_base::failure&) {
    return Error{ErrorCode::fileError, fileName, std::generic_category().message(errno)};
  }
}

std::vector<std::string> splitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (!text.empty() && start <= text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

}  // namespace

void Settings::printHelp() const {
  std::cout << "Usage: " << program_ << " [FLAGS]\n" << summary_ << "\n\n";
  std::cout << "  --settings FILE     YAML file with the keys below; flags win over it\n"
            << "  --check-settings    check the settings and exit\n"
            << "  --help              show this text and exit\n"
            << "  --version           show the version and exit\n\n";
  for (const Key& key : keys_) {
    std::cout << "  --" << key.name << " VALUE\n        " << key.help
              << "\n        accepted: " << key.range
              << "; default: " << (key.defaultText.empty() ? "none" : key.defaultText) << "\n";
  }
}

Settings::Parsed Settings::parse(int argc, char** argv) {
  const auto refuse = [this](ExitCode code, const Error& error) {
    std::cerr << program_ << ": " << base::errorCodeName(error.code) << ": " << error.field << ": "
              << error.detail << "\n";
    return Parsed{true, code, {}};
  };
  std::vector<std::string> names;
  for (const Key& key : keys_) {
    names.push_back(key.name);
  }
  const Result<CommandLine> read = readCommandLine(argc, argv, names);
  if (read.has_error()) {
    return refuse(ExitCode::usage, read.error());
  }
  const CommandLine& line = read.value();
  if (line.help) {
    printHelp();
    return {true, ExitCode::ok, {}};
  }
  if (line.version) {
    std::cout << program_ << " " << WALNUT_VERSION << "\n";
    return {true, ExitCode::ok, {}};
  }
  if (line.settingsFile) {
    const Result<std::string> text = readFile(*line.settingsFile);
    const Result<void> applied =
        text.has_value() ? applyYaml(text.value(), *line.settingsFile) : Result<void>(text.error());
    if (applied.has_error()) {
      return refuse(ExitCode::badSettings, applied.error());
    }
  }
  for (const FlagValue& flag : line.flags) {
    const Key* key = find(flag.name);
    const auto values =
        key->list ? splitAtCommas(flag.value) : std::vector<std::string>{flag.value};
    const Result<void> assigned = key->assign(values);
    if (assigned.has_error()) {
      const std::string detail =
          "'" + flag.value + "': " + assigned.error().detail + "; accepted: " + key->range;
      return refuse(ExitCode::usage, {assigned.error().code, "--" + flag.name, detail});
    }
  }
  if (line.check) {
    std::cout << program_ << ": settings accepted\n";
    return {true, ExitCode::ok, {}};
  }
  return {false, ExitCode::ok, line.positional};
}

}  // namespace walnut::runtime
