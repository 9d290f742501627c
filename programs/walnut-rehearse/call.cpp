/// @file
/// Subcommand call: the stand-in caller and checker.

#include <Poco/JSON/Stringifier.h>

#include <iostream>

#include "commands.h"
#include "rehearsal/call_summary.h"
#include "rehearsal/load_run.h"
#include "serve.h"
#include "target_file.h"
#include "walnut/runtime/clock.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

constexpr unsigned kJsonIndent = 2;

/// Flags as they are written.
struct CallFlags {
  std::vector<base::Endpoint> routers;
  std::vector<base::Endpoint> engines;
  std::string targetsFile;
  CallIntent single;
  std::int64_t maxTokens = 48;
  std::int64_t issuedAtMillis = 0;
  std::int64_t seed = 1;
  CallPlanOptions plan;
  std::int64_t killedRouter = -1;
  std::int64_t stoppedRouter = -1;
  bool showText = false;
};

void declareFlags(runtime::Settings& settings, CallFlags& flags) {
  settings.addEndpointList("routers", flags.routers, "routers to call");
  settings.addEndpointList("engines", flags.engines,
                           "stand-in engines, to hold their runs against the refusals");
  settings.addString("targets", flags.targetsFile, "file: name, model, version, adapter by tabs");
  settings.addString("target", flags.single.target, "one call of this name; empty: a load run");
  settings.addString("prompt", flags.single.prompt, "prompt of the one call");
  settings.addBoolean("stream", flags.single.stream, "the one call is streamed");
  settings.addString("key", flags.single.idempotencyKey,
                     "idempotency key: the one call may not be repeated");
  settings.addInteger("issued-at-ms", flags.issuedAtMillis, 0, INT64_MAX / 1000,
                      "first issue of the one call, since the Unix epoch; 0: now");
  settings.addBoolean("show-text", flags.showText, "print the answer of the one call");
  settings.addInteger("max-tokens", flags.maxTokens, 1, 32768, "bound of an answer");
  settings.addMillis("deadline-ms", flags.plan.deadline, 1, 3'600'000, "deadline of each call");
  settings.addInteger("seed", flags.seed, 0, INT64_MAX, "of the load run");
  settings.addReal("rate", flags.plan.rate, 0.01, 100'000, "calls a second");
  settings.addMillis("duration-ms", flags.plan.duration, 1, 86'400'000, "length of the load run");
  settings.addReal("stream-share", flags.plan.streamShare, 0, 1, "of calls that are streamed");
  settings.addReal("once-share", flags.plan.onceShare, 0, 1, "of calls that may not be repeated");
  settings.addInteger("killed-router", flags.killedRouter, -1, 100'000,
                      "index of the router that is killed on purpose: its cut calls are expected");
  settings.addInteger("stopped-router", flags.stoppedRouter, -1, 100'000,
                      "index of the router that is stopped on purpose: it may become unreachable, "
                      "but must cut nothing");
}

void print(const Poco::JSON::Object& object) {
  Poco::JSON::Stringifier::stringify(object, std::cout, kJsonIndent);
  std::cout << std::endl;
}

int exitCodeOf(bool good) {
  return static_cast<int>(good ? runtime::ExitCode::ok : runtime::ExitCode::failed);
}

/// An unknown name is called all the same: its refusal is what is looked at.
int callOnce(const CallFlags& flags, const std::vector<Target>& targets) {
  CallIntent intent = flags.single;
  intent.maxTokens = static_cast<std::uint32_t>(flags.maxTokens);
  intent.deadline = flags.plan.deadline;
  intent.issuedAt = flags.issuedAtMillis > 0
                        ? base::TimePoint(std::chrono::milliseconds(flags.issuedAtMillis))
                        : runtime::now();
  const CallResult result = makeCall(flags.routers.front(), intent);
  const Transcript& transcript = result.transcript;
  const Verdict verdict =
      judge(transcript, findTarget(targets, intent.target), intent.prompt, intent.maxTokens);
  Poco::JSON::Object answer(Poco::JSON_PRESERVE_KEY_ORDER);
  answer.set("verdict", verdictName(verdict));
  if (transcript.refusal) {
    answer.set("code", base::errorCodeName(transcript.refusal->error.code));
    answer.set("executed", http::executedName(transcript.refusal->executed));
  }
  if (transcript.failure) {
    answer.set("failure", transcript.failure->detail);
  }
  answer.set("cold", result.cold);
  answer.set("first_token_ms", toMillis(result.firstToken));
  answer.set("total_ms", toMillis(result.total));
  answer.set("pieces", transcript.pieces.size());
  if (flags.showText) {
    std::string text;
    for (const std::string& piece : transcript.pieces) {
      text += piece;
    }
    answer.set("text", text);
  }
  print(answer);
  return exitCodeOf(verdict == Verdict::answered);
}

/// @return true if the ending is a fault of the product: not one that the script caused itself.
bool isFault(const CallEnding& ending, const CallFlags& flags) {
  const auto router = static_cast<std::int64_t>(ending.call.router);
  switch (ending.verdict) {
    case Verdict::answered:
    case Verdict::refused:
      return false;
    case Verdict::wrong:
      return true;
    case Verdict::cut:
      return router != flags.killedRouter;
    case Verdict::unreachable:
      break;
  }
  return router != flags.killedRouter && router != flags.stoppedRouter;
}

int callLoad(const CallFlags& flags, const std::vector<Target>& targets) {
  LoadRunOptions options;
  options.plan = flags.plan;
  options.plan.seed = static_cast<std::uint64_t>(flags.seed);
  options.plan.maxTokens = static_cast<std::uint32_t>(flags.maxTokens);
  options.plan.routers = flags.routers.size();
  options.routers = flags.routers;
  const std::vector<CallEnding> endings = runLoad(options, targets);
  const ExecutionCheck check = checkExecution(endings, flags.engines);
  std::uint64_t faults = check.ranThoughDenied + check.ranTwice;
  std::uint64_t answered = 0;
  for (const CallEnding& ending : endings) {
    faults += isFault(ending, flags) ? 1 : 0;
    answered += ending.verdict == Verdict::answered ? 1 : 0;
  }
  Poco::JSON::Object summary = summarize(endings);
  summary.set("runs_checked", check.checked);
  summary.set("ran_though_denied", check.ranThoughDenied);
  summary.set("ran_twice", check.ranTwice);
  summary.set("faults", faults);
  print(summary);
  return exitCodeOf(faults == 0 && answered > 0);
}

}  // namespace

int runCall(int argc, char** argv) {
  CallFlags flags;
  runtime::Settings settings("walnut-rehearse call", "Stand-in caller; checks every answer.");
  declareFlags(settings, flags);
  const runtime::Settings::Parsed parsed = settings.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  if (flags.routers.empty()) {
    failToStart(base::Error{base::ErrorCode::missingField, "routers", "required"});
    return static_cast<int>(runtime::ExitCode::usage);
  }
  const auto targets = readTargets(flags.targetsFile);
  if (!targets) {
    failToStart(targets.error());
    return static_cast<int>(runtime::ExitCode::usage);
  }
  return flags.single.target.empty() ? callLoad(flags, targets.value())
                                     : callOnce(flags, targets.value());
}

}  // namespace walnut::rehearsal
