#include "rehearsal/bench.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

#include "rehearsal/engine_call.h"
#include "rehearsal/process_cpu.h"
#include "walnut/runtime/clock.h"

namespace walnut::rehearsal {

namespace {

class Bench {
 public:
  explicit Bench(const BenchOptions& options) : options_(options) {}

  BenchResult run() {
    onThreads(options_.concurrency, [this] { runPairs(); });
    runLoad();
    return std::move(result_);
  }

 private:
  template <class Body>
  void onThreads(std::size_t count, Body body) {
    std::vector<std::thread> threads;
    threads.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
      threads.emplace_back(body);
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  /// Prompts differ in their first bytes, so that no prefix is cached for either side.
  CallIntent nextIntent() {
    CallIntent intent;
    intent.target = options_.target.name;
    intent.prompt = std::to_string(++calls_) + " bench " + run_;
    intent.maxTokens = options_.maxTokens;
    return intent;
  }

  bool isWhole(const CallResult& result, const CallIntent& intent) const {
    return judge(result.transcript, options_.target, intent.prompt, intent.maxTokens) ==
           Verdict::answered;
  }

  CallResult callDirect(const CallIntent& intent) const {
    return makeEngineCall(options_.engine, options_.target.servables.front(), intent,
                          "bench-" + intent.prompt);
  }

  void runPairs() {
    for (std::size_t pair = 0; pair < options_.pairs; ++pair) {
      const bool directFirst = pair % 2 == 0;
      const CallIntent directIntent = nextIntent();
      const CallIntent routedIntent = nextIntent();
      CallResult direct;
      if (directFirst) {
        direct = callDirect(directIntent);
      }
      const CallResult routed = makeCall(options_.router, routedIntent);
      if (!directFirst) {
        direct = callDirect(directIntent);
      }
      const bool whole = isWhole(direct, directIntent) && isWhole(routed, routedIntent);
      add(direct, routed, whole);
    }
  }

  void add(const CallResult& direct, const CallResult& routed, bool whole) {
    const std::lock_guard lock(mutex_);
    if (!whole) {
      ++result_.failures;
      return;
    }
    result_.direct.firstToken.push_back(direct.firstToken);
    result_.direct.total.push_back(direct.total);
    result_.routed.firstToken.push_back(routed.firstToken);
    result_.routed.total.push_back(routed.total);
  }

  void runLoad() {
    const auto cpuBefore = processCpu(options_.routerPid);
    const base::TimePoint begunAt = runtime::now();
    const base::TimePoint end = begunAt + options_.loadDuration;
    onThreads(options_.loadConcurrency, [this, end] {
      while (runtime::now() < end) {
        callForLoad();
      }
    });
    result_.load.elapsed = runtime::now() - begunAt;
    const auto cpuAfter = processCpu(options_.routerPid);
    if (cpuBefore && cpuAfter) {
      result_.load.routerCpu = cpuAfter.value() - cpuBefore.value();
    }
  }

  void callForLoad() {
    const CallIntent intent = nextIntent();
    const CallResult result = makeCall(options_.router, intent);
    const std::lock_guard lock(mutex_);
    if (isWhole(result, intent)) {
      ++result_.load.requests;
      result_.load.tokens += result.transcript.pieces.size();
    } else {
      ++result_.failures;
    }
  }

  const BenchOptions& options_;
  const std::string run_ = std::to_string(runtime::randomSeed());
  std::atomic<std::uint64_t> calls_{0};
  std::mutex mutex_;
  BenchResult result_;  ///< Guarded by mutex_ while threads run.
};

}  // namespace

BenchResult measureRouter(const BenchOptions& options) { return Bench(options).run(); }

}  // namespace walnut::rehearsal
