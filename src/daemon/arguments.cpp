#include "daemon/arguments.h"

#include <algorithm>
#include <iostream>
#include <iterator>

namespace walnut::daemon {

using runtime::ExitCode;
using runtime::Settings;

Arguments::Arguments(int argc, char** argv) : arguments_(argv, argv + argc) {}

void Arguments::allowBare(std::initializer_list<std::string_view> flags) {
  for (std::size_t index = 0; index < arguments_.size(); ++index) {
    const bool named = std::find(flags.begin(), flags.end(), arguments_[index]) != flags.end();
    const bool last = index + 1 == arguments_.size();
    if (named && (last || arguments_[index + 1].starts_with("--"))) {
      arguments_.insert(arguments_.begin() + static_cast<std::ptrdiff_t>(index) + 1, "true");
    }
  }
}

bool Arguments::take(std::string_view flag) {
  const auto found = std::find(arguments_.begin(), arguments_.end(), flag);
  if (found == arguments_.end()) {
    return false;
  }
  arguments_.erase(found);
  return true;
}

Settings::Parsed Arguments::parseKeys(Settings& settings, const std::string& program) {
  std::vector<char*> pointers;
  std::transform(arguments_.begin(), arguments_.end(), std::back_inserter(pointers),
                 [](std::string& argument) { return argument.data(); });
  pointers.push_back(nullptr);
  Settings::Parsed parsed = settings.parse(static_cast<int>(arguments_.size()), pointers.data());
  if (!parsed.exitNow && !parsed.positional.empty()) {
    std::cerr << program << ": unexpected argument: " << parsed.positional.front() << "\n";
    parsed.exitNow = true;
    parsed.exitCode = ExitCode::usage;
  }
  return parsed;
}

Settings::Parsed Arguments::finish(const std::string& program, const base::Result<void>& resolved,
                                   bool checkOnly) {
  if (!resolved) {
    const base::Error& error = resolved.error();
    std::cerr << program << ": " << base::errorCodeName(error.code) << ": " << error.field << ": "
              << error.detail << "\n";
    return {true, ExitCode::badSettings, {}};
  }
  if (checkOnly) {
    std::cout << program << ": settings accepted\n";
  }
  return {checkOnly, ExitCode::ok, {}};
}

}  // namespace walnut::daemon
