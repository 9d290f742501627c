/// @file
/// `walnutctl apply`.

#include <Poco/JSON/Array.h>

#include <sstream>

#include "cli/apply_plan.h"
#include "cli/commands.h"
#include "cli/manifest.h"
#include "http/resource_codec.h"

namespace walnut::cli {

using base::Error;
using base::ErrorCode;
using runtime::ExitCode;

namespace {

const char* actionName(ApplyStep::Action action) {
  switch (action) {
    case ApplyStep::Action::create:
      return "created";
    case ApplyStep::Action::replace:
      return "replaced";
    case ApplyStep::Action::unchanged:
      break;
  }
  return "unchanged";
}

/// Carries out the steps of one apply.
class Applier {
 public:
  Applier(ControllerClient& client, Console& console, std::vector<Declaration> declarations,
          std::string requestId)
      : client_(client),
        console_(console),
        declarations_(std::move(declarations)),
        requestId_(std::move(requestId)) {}

  ExitCode run() {
    const auto existing = client_.list(std::nullopt);
    if (existing.has_error()) {
      return reportError(console_, "", existing.error());
    }
    const auto steps = planApply(declarations_, existing.value().resources);
    ExitCode exitCode = ExitCode::ok;
    for (std::size_t done = 0; done < steps.size() && exitCode == ExitCode::ok; ++done) {
      exitCode = carryOut(steps[done]);
      if (exitCode != ExitCode::ok && done > 0) {
        console_.error << "walnutctl: stopped after " << done << " of " << steps.size()
                       << " steps; apply again to go on\n";
      }
    }
    if (console_.format == OutputFormat::json) {
      results_.stringify(console_.out);
      console_.out << "\n";
    }
    return exitCode;
  }

 private:
  ExitCode carryOut(const ApplyStep& step) {
    Declaration& declaration = declarations_[step.declaration];
    resource::Version version = 0;
    if (step.action != ApplyStep::Action::unchanged) {
      const WriteCondition condition{requestIdOf(step), declaration.expectedVersion};
      const auto written = client_.put(declaration.key, step.spec, condition);
      if (written.has_error()) {
        return reportError(console_, subjectOf(declaration.key) + " (" + declaration.place + ")",
                           written.error(), requestId_);
      }
      version = written.value();
    }
    if (step.withoutActiveVersion) {
      // The second write replaces what this one has made, and nothing else.
      declaration.expectedVersion = version;
      return ExitCode::ok;
    }
    tell(declaration.key, actionName(step.action), version);
    return ExitCode::ok;
  }

  /// Ids follow from the position of the declaration, so that a repeated apply of the same files
  /// under the same id resends the same writes.
  std::string requestIdOf(const ApplyStep& step) const {
    const char* const part = step.withoutActiveVersion ? "a" : "b";
    return requestId_ + "." + std::to_string(step.declaration) + part;
  }

  void tell(const resource::Key& key, const char* result, resource::Version version) {
    if (console_.format == OutputFormat::json) {
      Poco::JSON::Object object = http::encodeWriteAnswer(http::WriteAnswer{key, version});
      object.set("result", result);
      results_.add(object);
      return;
    }
    console_.out << subjectOf(key) << " " << result;
    if (version != 0) {
      console_.out << ", version " << version;
    }
    console_.out << "\n";
  }

  ControllerClient& client_;
  Console& console_;
  std::vector<Declaration> declarations_;
  std::string requestId_;
  Poco::JSON::Array results_;
};

ExitCode refuse(Console& console, const Error& error) {
  http::ErrorBody body;
  body.error = error;
  reportError(console, "", body);
  return ExitCode::failed;
}

}  // namespace

ExitCode runApply(const Invocation& invocation, ControllerClient& client, Console& console) {
  auto declarations = readManifests(invocation.files);
  if (declarations.has_error()) {
    return refuse(console, declarations.error());
  }
  if (invocation.expectedVersion) {
    if (declarations.value().size() != 1) {
      refuse(console,
             Error{ErrorCode::outOfRange, "--expected-version",
                   "only with a single resource; else write expected_version in the file"});
      return ExitCode::usage;
    }
    declarations.value().front().expectedVersion = invocation.expectedVersion;
  }
  if (invocation.anyVersion) {
    for (Declaration& declaration : declarations.value()) {
      declaration.expectedVersion.reset();
    }
  }
  Applier applier(client, console, std::move(declarations.value()),
                  invocation.requestId.value_or(makeRequestId()));
  return applier.run();
}

}  // namespace walnut::cli
