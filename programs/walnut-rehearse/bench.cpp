/// @file
/// Subcommand bench: what a router adds, in pairs with direct calls of an engine in one run.

#include "rehearsal/bench.h"

#include <cstdio>
#include <iostream>

#include "commands.h"
#include "rehearsal/call_summary.h"
#include "rehearsal/engine_call.h"
#include "serve.h"
#include "target_file.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

using base::Error;
using base::ErrorCode;

/// Flags as they are written.
struct BenchFlags {
  std::vector<base::Endpoint> engines;
  std::string targetsFile;
  std::string target;
  std::int64_t routerPid = 0;
  std::int64_t pairs = 100;
  std::int64_t concurrency = 4;
  std::int64_t maxTokens = 16;
  std::int64_t loadConcurrency = 32;
  BenchOptions options;
};

void declareFlags(runtime::Settings& settings, BenchFlags& flags) {
  settings.addEndpoint("router", flags.options.router, "router to call");
  settings.addInteger("router-pid", flags.routerPid, 1, INT32_MAX, "process of the router");
  settings.addEndpointList("engines", flags.engines, "engines; one that has the target is called");
  settings.addString("targets", flags.targetsFile, "file: name, model, version, adapter by tabs");
  settings.addString("target", flags.target, "name to call");
  settings.addInteger("pairs", flags.pairs, 1, 1'000'000, "pairs of calls a thread");
  settings.addInteger("concurrency", flags.concurrency, 1, 1000, "threads that make pairs");
  settings.addInteger("max-tokens", flags.maxTokens, 1, 32768, "bound of an answer");
  settings.addMillis("load-duration-ms", flags.options.loadDuration, 100, 3'600'000,
                     "length of the load that the router's processor time is taken over");
  settings.addInteger("load-concurrency", flags.loadConcurrency, 1, 2000,
                      "calls that the load keeps open");
}

/// Wakes the target through the router.
/// @return the engine that has it then.
base::Result<base::Endpoint> findEngine(const BenchFlags& flags, const Target& target) {
  CallIntent intent;
  intent.target = target.name;
  intent.prompt = "wake";
  intent.maxTokens = 1;
  makeCall(flags.options.router, intent);
  for (const base::Endpoint& engine : flags.engines) {
    const CallResult result = makeEngineCall(engine, target.servables.front(), intent,
                                             "bench-find-" + runtime::formatEndpoint(engine));
    if (result.transcript.ended) {
      return engine;
    }
  }
  return Error{ErrorCode::modelNotLoaded, target.name, "at none of the engines"};
}

base::Result<BenchOptions> optionsOf(const BenchFlags& flags) {
  BOOST_OUTCOME_TRY(targets, readTargets(flags.targetsFile));
  BenchOptions options = flags.options;
  options.target = findTarget(targets, flags.target);
  if (options.target.servables.empty()) {
    return Error{ErrorCode::notFound, flags.target, "not among the targets"};
  }
  options.routerPid = static_cast<int>(flags.routerPid);
  options.pairs = static_cast<std::size_t>(flags.pairs);
  options.concurrency = static_cast<std::size_t>(flags.concurrency);
  options.maxTokens = static_cast<std::uint32_t>(flags.maxTokens);
  options.loadConcurrency = static_cast<std::size_t>(flags.loadConcurrency);
  BOOST_OUTCOME_TRY(engine, findEngine(flags, options.target));
  options.engine = engine;
  return options;
}

void printRow(const char* name, const std::vector<base::Duration>& direct,
              const std::vector<base::Duration>& routed, double fraction) {
  const double directMillis = toMillis(percentile(direct, fraction));
  const double routedMillis = toMillis(percentile(routed, fraction));
  std::printf("%-18s %10.2f %10.2f %10.2f %8.3f\n", name, directMillis, routedMillis,
              routedMillis - directMillis, directMillis > 0 ? routedMillis / directMillis : 0.0);
}

void printResult(const BenchResult& result) {
  std::printf("pairs %zu, failed calls %llu\n", result.direct.total.size(),
              static_cast<unsigned long long>(result.failures));
  std::printf("%-18s %10s %10s %10s %8s\n", "ms", "direct", "router", "added", "ratio");
  printRow("first token p50", result.direct.firstToken, result.routed.firstToken, 0.5);
  printRow("first token p95", result.direct.firstToken, result.routed.firstToken, 0.95);
  printRow("first token p99", result.direct.firstToken, result.routed.firstToken, 0.99);
  printRow("total p50", result.direct.total, result.routed.total, 0.5);
  printRow("total p95", result.direct.total, result.routed.total, 0.95);
  printRow("total p99", result.direct.total, result.routed.total, 0.99);
  const BenchLoad& load = result.load;
  const double seconds = std::chrono::duration<double>(load.elapsed).count();
  const double cpuSeconds = std::chrono::duration<double>(load.routerCpu).count();
  std::printf("load: %llu requests, %llu tokens in %.2f s; router used %.2f s of processor time\n",
              static_cast<unsigned long long>(load.requests),
              static_cast<unsigned long long>(load.tokens), seconds, cpuSeconds);
  if (cpuSeconds > 0) {
    std::printf("router: %.0f requests/s a core, %.0f tokens/s a core\n",
                static_cast<double>(load.requests) / cpuSeconds,
                static_cast<double>(load.tokens) / cpuSeconds);
  }
}

}  // namespace

int runBench(int argc, char** argv) {
  BenchFlags flags;
  runtime::Settings settings("walnut-rehearse bench", "Router against engine, in pairs.");
  declareFlags(settings, flags);
  const runtime::Settings::Parsed parsed = settings.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  const auto options = optionsOf(flags);
  if (!options) {
    return failToStart(options.error());
  }
  const BenchResult result = measureRouter(options.value());
  printResult(result);
  const bool good = result.failures == 0 && result.load.requests > 0;
  return static_cast<int>(good ? runtime::ExitCode::ok : runtime::ExitCode::failed);
}

}  // namespace walnut::rehearsal
