#pragma once
/// @file
/// A command line on its way to runtime::Settings.

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/runtime/settings.h"

namespace walnut::daemon {

/// Copy of a command line.
class Arguments {
 public:
  Arguments(int argc, char** argv);

  /// Lets these boolean flags stand without a value, which then is `true`.
  void allowBare(std::initializer_list<std::string_view> flags);

  /// Removes `flag`.
  /// @return true if it was there.
  bool take(std::string_view flag);

  /// Parses, and checks what `resolve` adds to the checks of single keys. `--check-settings` is
  /// served after both. Prints errors; positional arguments are refused.
  /// @param resolve called once the keys are assigned; returns Result<void>.
  template <class Resolve>
  runtime::Settings::Parsed parse(runtime::Settings& settings, const std::string& program,
                                  Resolve resolve) {
    const bool checkOnly = take("--check-settings");
    runtime::Settings::Parsed parsed = parseKeys(settings, program);
    if (parsed.exitNow) {
      return parsed;
    }
    return finish(program, resolve(), checkOnly);
  }

 private:
  runtime::Settings::Parsed parseKeys(runtime::Settings& settings, const std::string& program);
  static runtime::Settings::Parsed finish(const std::string& program,
                                          const base::Result<void>& resolved, bool checkOnly);

  std::vector<std::string> arguments_;
};

}  // namespace walnut::daemon
