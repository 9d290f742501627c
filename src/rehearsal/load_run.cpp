#include "rehearsal/load_run.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "walnut/runtime/clock.h"

namespace walnut::rehearsal {

namespace {

/// Hands out the planned calls to the threads, and collects their endings.
class LoadRun {
 public:
  LoadRun(const LoadRunOptions& options, const std::vector<Target>& targets)
      : options_(options), targets_(targets), calls_(planCalls(options.plan, targets)) {}

  std::vector<CallEnding> run() {
    begunAt_ = runtime::now();
    std::vector<std::thread> threads;
    const std::size_t count = std::min(options_.maxOpen, calls_.size());
    threads.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
      threads.emplace_back([this] { loop(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    return std::move(endings_);
  }

 private:
  std::optional<PlannedCall> takeNext() {
    const std::lock_guard lock(mutex_);
    if (next_ == calls_.size()) {
      return std::nullopt;
    }
    return calls_[next_++];
  }

  void loop() {
    while (auto call = takeNext()) {
      const base::TimePoint due = begunAt_ + call->at;
      std::this_thread::sleep_for(std::max(base::Duration(0), due - runtime::now()));
      CallEnding ending = make(std::move(*call));
      const std::lock_guard lock(mutex_);
      endings_.push_back(std::move(ending));
    }
  }

  CallEnding make(PlannedCall call) const {
    call.intent.issuedAt = runtime::now();
    CallEnding ending;
    ending.result = makeCall(options_.routers.at(call.router), call.intent);
    ending.verdict = judge(ending.result.transcript, targets_.at(call.target), call.intent.prompt,
                           call.intent.maxTokens);
    ending.call = std::move(call);
    return ending;
  }

  const LoadRunOptions& options_;
  const std::vector<Target>& targets_;
  const std::vector<PlannedCall> calls_;
  base::TimePoint begunAt_;
  std::mutex mutex_;
  std::size_t next_ = 0;             ///< Guarded by mutex_.
  std::vector<CallEnding> endings_;  ///< Guarded by mutex_.
};

}  // namespace

std::vector<CallEnding> runLoad(const LoadRunOptions& options, const std::vector<Target>& targets) {
  return LoadRun(options, targets).run();
}

}  // namespace walnut::rehearsal
