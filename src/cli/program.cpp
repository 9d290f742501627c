#include "cli/program.h"

#include "cli/commands.h"
#include "cli/explain.h"
#include "cli/help.h"

namespace walnut::cli {

using runtime::ExitCode;

namespace {

ExitCode dispatch(const Invocation& invocation, ControllerClient& client, Console& console) {
  switch (*invocation.command) {
    case Command::apply:
      return runApply(invocation, client, console);
    case Command::get:
      return runGet(invocation, client, console);
    case Command::watch:
      return runWatch(invocation, client, console);
    case Command::remove:
      return runDelete(invocation, client, console);
    case Command::status:
      return runStatus(invocation, client, console);
    case Command::drain:
      return runDrain(invocation, client, console);
    case Command::member:
      return runMember(invocation, client, console);
    case Command::explain:
      return runExplain(invocation, console);
  }
  return ExitCode::internal;
}

}  // namespace

ExitCode runProgram(int argc, char** argv, const char* environmentControllers, std::ostream& out,
                    std::ostream& error) {
  const auto parsed = parseCommandLine(argc, argv, environmentControllers);
  if (parsed.has_error()) {
    error << "walnutctl: " << base::errorCodeName(parsed.error().code) << ": "
          << parsed.error().field << ": " << parsed.error().detail << "\n";
    return ExitCode::usage;
  }
  const Invocation& invocation = parsed.value();
  if (invocation.mode == Invocation::Mode::help) {
    out << helpText(invocation.command);
    return ExitCode::ok;
  }
  if (invocation.mode == Invocation::Mode::version) {
    out << "walnutctl " << WALNUT_VERSION << "\n";
    return ExitCode::ok;
  }
  ControllerClient client(ClientOptions{invocation.controllers, invocation.timeout,
                                        invocation.attempts, invocation.retryPause});
  Console console{out, error, invocation.output};
  return dispatch(invocation, client, console);
}

}  // namespace walnut::cli
