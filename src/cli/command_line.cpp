#include "cli/command_line.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "walnut/runtime/settings.h"

namespace walnut::cli {

using base::Error;
using base::ErrorCode;
using base::Result;

namespace {

constexpr std::uint64_t kMaxMillis = 600'000;
constexpr std::uint64_t kMaxAttempts = 1000;
constexpr std::size_t kMaxFiles = 10'000;  ///< Of logs: a file for each process of a deployment.

struct CommandEntry {
  const char* name;
  Command command;
  std::size_t leastArguments;
  std::size_t mostArguments;
  const char* arguments;  ///< As shown in errors.
};

constexpr CommandEntry kCommands[] = {
    {"apply", Command::apply, 0, 0, "none"},
    {"get", Command::get, 0, 2, "[KIND [NAME]]"},
    {"watch", Command::watch, 0, 1, "[KIND]"},
    {"delete", Command::remove, 2, 2, "KIND NAME"},
    {"status", Command::status, 0, 0, "none"},
    {"drain", Command::drain, 1, 1, "ENGINE"},
    {"member", Command::member, 2, 2, "add ID@PEER@API@ZONE | remove ID"},
    {"explain", Command::explain, 1, kMaxFiles, "FILE..."},
};

enum class Flag : std::uint8_t {
  help,
  version,
  controllers,
  output,
  timeout,
  attempts,
  retryPause,
  file,
  expectedVersion,
  anyVersion,
  from,
  requestId,
  reason,
  undo,
  request,
  losses,
};

/// A flag and the subcommands that take it; with none named, all of them do.
struct FlagEntry {
  const char* name;
  Flag flag;
  bool hasValue;
  std::vector<Command> commands;
};

const std::vector<FlagEntry>& flagEntries() {
  static const std::vector<FlagEntry> entries = {
      {"help", Flag::help, false, {}},
      {"version", Flag::version, false, {}},
      {"controllers", Flag::controllers, true, {}},
      {"output", Flag::output, true, {}},
      {"timeout-ms", Flag::timeout, true, {}},
      {"attempts", Flag::attempts, true, {}},
      {"retry-pause-ms", Flag::retryPause, true, {}},
      {"file", Flag::file, true, {Command::apply}},
      {"expected-version", Flag::expectedVersion, true, {Command::apply, Command::remove}},
      {"any-version", Flag::anyVersion, false, {Command::apply}},
      {"from", Flag::from, true, {Command::watch}},
      {"request-id",
       Flag::requestId,
       true,
       {Command::apply, Command::remove, Command::drain, Command::member}},
      {"reason", Flag::reason, true, {Command::drain}},
      {"undo", Flag::undo, false, {Command::drain}},
      {"request", Flag::request, true, {Command::explain}},
      {"losses", Flag::losses, false, {Command::explain}},
  };
  return entries;
}

/// A flag as it was given.
struct GivenFlag {
  const FlagEntry* entry;
  std::string value;
};

std::vector<option> makeOptions() {
  std::vector<option> options;
  for (const FlagEntry& entry : flagEntries()) {
    const int hasValue = entry.hasValue ? required_argument : no_argument;
    options.push_back({entry.name, hasValue, nullptr, 0});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

const FlagEntry* entryOf(Flag flag) {
  const auto& entries = flagEntries();
  const auto matches = [flag](const FlagEntry& entry) { return entry.flag == flag; };
  return &*std::find_if(entries.begin(), entries.end(), matches);
}

/// Takes the flags off; what remains of `argv` from `optind` on are the arguments.
Result<std::vector<GivenFlag>> readFlags(int argc, char** argv) {
  const std::vector<option> options = makeOptions();
  std::vector<GivenFlag> given;
  optind = 0;  // GNU: starts over, so that tests may parse more than once.
  opterr = 0;
  int index = 0;
  // The leading ':' tells a missing value from an unknown flag.
  int found = getopt_long(argc, argv, ":f:o:", options.data(), &index);
  while (found != -1) {
    const std::string value = optarg == nullptr ? "" : optarg;
    if (found == 'f' || found == 'o') {
      given.push_back({entryOf(found == 'f' ? Flag::file : Flag::output), value});
    } else if (found == 0) {
      given.push_back({&flagEntries()[static_cast<std::size_t>(index)], value});
    } else {
      const ErrorCode code = found == ':' ? ErrorCode::missingField : ErrorCode::unknownField;
      return Error{code, argv[optind - 1], found == ':' ? "needs a value" : "no such flag"};
    }
    found = getopt_long(argc, argv, ":f:o:", options.data(), &index);
  }
  return given;
}

Result<std::uint64_t> parseNumber(const std::string& text, const std::string& name,
                                  std::uint64_t low, std::uint64_t high) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, value);
  if (failure == std::errc::invalid_argument || rest != end) {
    return Error{ErrorCode::wrongType, name, "'" + text + "' is not a whole number"};
  }
  if (failure == std::errc::result_out_of_range || value < low || value > high) {
    return Error{ErrorCode::outOfRange, name,
                 "accepted: " + std::to_string(low) + " .. " + std::to_string(high)};
  }
  return value;
}

Result<std::vector<base::Endpoint>> parseControllers(const std::string& text,
                                                     const std::string& name) {
  std::vector<base::Endpoint> endpoints;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    const auto endpoint = runtime::parseEndpoint(part);
    if (endpoint.has_error()) {
      return Error{endpoint.error().code, name, endpoint.error().detail};
    }
    endpoints.push_back(endpoint.value());
  }
  if (endpoints.empty()) {
    return Error{ErrorCode::missingField, name, "expected ADDRESS:PORT[,ADDRESS:PORT...]"};
  }
  return endpoints;
}

Result<OutputFormat> parseOutput(const std::string& text) {
  if (text != "table" && text != "json") {
    return Error{ErrorCode::outOfRange, "--output", "accepted: table, json"};
  }
  return text == "json" ? OutputFormat::json : OutputFormat::table;
}

Result<void> take(const GivenFlag& given, Invocation& invocation) {
  const std::string name = std::string("--") + given.entry->name;
  switch (given.entry->flag) {
    case Flag::help:
      invocation.mode = Invocation::Mode::help;
      return base::success();
    case Flag::version:
      invocation.mode = Invocation::Mode::version;
      return base::success();
    case Flag::controllers: {
      BOOST_OUTCOME_TRY(controllers, parseControllers(given.value, name));
      invocation.controllers = std::move(controllers);
      return base::success();
    }
    case Flag::output: {
      BOOST_OUTCOME_TRY(format, parseOutput(given.value));
      invocation.output = format;
      return base::success();
    }
    case Flag::timeout: {
      BOOST_OUTCOME_TRY(millis, parseNumber(given.value, name, 1, kMaxMillis));
      invocation.timeout = std::chrono::milliseconds(millis);
      return base::success();
    }
    case Flag::attempts: {
      BOOST_OUTCOME_TRY(attempts, parseNumber(given.value, name, 1, kMaxAttempts));
      invocation.attempts = attempts;
      return base::success();
    }
    case Flag::retryPause: {
      BOOST_OUTCOME_TRY(millis, parseNumber(given.value, name, 0, kMaxMillis));
      invocation.retryPause = std::chrono::milliseconds(millis);
      return base::success();
    }
    case Flag::file:
      invocation.files.push_back(given.value);
      return base::success();
    case Flag::expectedVersion: {
      BOOST_OUTCOME_TRY(version, parseNumber(given.value, name, 0, UINT64_MAX));
      invocation.expectedVersion = version;
      return base::success();
    }
    case Flag::anyVersion:
      invocation.anyVersion = true;
      return base::success();
    case Flag::from: {
      BOOST_OUTCOME_TRY(version, parseNumber(given.value, name, 0, UINT64_MAX));
      invocation.from = version;
      return base::success();
    }
    case Flag::requestId:
      invocation.requestId = given.value;
      return base::success();
    case Flag::reason:
      invocation.reason = given.value;
      return base::success();
    case Flag::undo:
      invocation.undo = true;
      return base::success();
    case Flag::request:
      invocation.request = given.value;
      return base::success();
    case Flag::losses:
      invocation.losses = true;
      return base::success();
  }
  return base::success();
}

const CommandEntry* findCommand(const std::string& name) {
  const auto* const found =
      std::find_if(std::begin(kCommands), std::end(kCommands),
                   [&name](const CommandEntry& entry) { return name == entry.name; });
  return found == std::end(kCommands) ? nullptr : found;
}

Result<void> checkExplain(const Invocation& invocation) {
  if (invocation.request && invocation.losses) {
    return Error{ErrorCode::outOfRange, "--losses", "not together with --request"};
  }
  if (!invocation.request && !invocation.losses) {
    return Error{ErrorCode::missingField, "--request", "or --losses"};
  }
  return base::success();
}

/// Checks that the subcommand takes these flags and this many arguments.
Result<void> checkUse(const CommandEntry& command, const std::vector<GivenFlag>& flags,
                      const Invocation& invocation) {
  for (const GivenFlag& flag : flags) {
    const auto& commands = flag.entry->commands;
    const bool taken = commands.empty() || std::find(commands.begin(), commands.end(),
                                                     command.command) != commands.end();
    if (!taken) {
      return Error{ErrorCode::unknownField, std::string("--") + flag.entry->name,
                   std::string("not a flag of ") + command.name};
    }
  }
  const std::size_t count = invocation.arguments.size();
  if (count < command.leastArguments || count > command.mostArguments) {
    const ErrorCode code =
        count < command.leastArguments ? ErrorCode::missingField : ErrorCode::unknownField;
    return Error{code, command.name, std::string("expected arguments: ") + command.arguments};
  }
  if (command.command == Command::apply && invocation.files.empty()) {
    return Error{ErrorCode::missingField, "--file", "name at least one file"};
  }
  if (invocation.anyVersion && invocation.expectedVersion) {
    return Error{ErrorCode::outOfRange, "--any-version", "not together with --expected-version"};
  }
  if (command.command == Command::explain) {
    return checkExplain(invocation);
  }
  if (invocation.controllers.empty()) {
    return Error{ErrorCode::missingField, "--controllers", "or set WALNUT_CONTROLLERS"};
  }
  return base::success();
}

}  // namespace

Result<Invocation> parseCommandLine(int argc, char** argv, const char* environmentControllers) {
  BOOST_OUTCOME_TRY(flags, readFlags(argc, argv));
  Invocation invocation;
  for (const GivenFlag& flag : flags) {
    BOOST_OUTCOME_TRY(take(flag, invocation));
  }
  std::vector<std::string> words(argv + optind, argv + argc);
  if (words.empty() && invocation.mode == Invocation::Mode::run) {
    return Error{ErrorCode::missingField, "COMMAND", "walnutctl --help lists them"};
  }
  if (words.empty()) {
    return invocation;
  }
  const CommandEntry* command = findCommand(words.front());
  if (command == nullptr) {
    return Error{ErrorCode::unknownField, words.front(), "no such command"};
  }
  invocation.command = command->command;
  invocation.arguments.assign(words.begin() + 1, words.end());
  if (invocation.mode != Invocation::Mode::run) {
    return invocation;
  }
  if (invocation.controllers.empty() && environmentControllers != nullptr) {
    BOOST_OUTCOME_TRY(controllers, parseControllers(environmentControllers, "WALNUT_CONTROLLERS"));
    invocation.controllers = std::move(controllers);
  }
  BOOST_OUTCOME_TRY(checkUse(*command, flags, invocation));
  return invocation;
}

}  // namespace walnut::cli
