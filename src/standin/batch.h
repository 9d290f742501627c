#pragma once
/// @file
/// Continuous batch of a stand-in engine: attempts that run, and a bounded queue before them.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standin/accelerators.h"
#include "standin/load_history.h"
#include "standin/prefix_cache.h"
#include "walnut/standin/engine.h"

namespace walnut::standin {

/// Up to `maxRunning` attempts run at once; a finished one makes room for the next of the queue,
/// interactive before batch, then in the order of arrival. A running attempt's first token comes
/// after `firstTokenDelay` (sooner with a cached prefix or imported key-value cache), the others
/// each `tokenInterval`.
class Batch {
 public:
  /// Both references outlive the batch.
  Batch(const EngineModelOptions& options, Accelerators& accelerators, PrefixCache& prefixes);

  void submit(base::TimePoint now, const engine::GenerateRequest& request, bool leaving);
  void cancel(base::TimePoint now, const engine::CancelRequest& request);
  engine::ExportResult exportKv(base::TimePoint now, const engine::ExportRequest& request);
  /// Emits the tokens that are due, in the order of their times.
  void advance(base::TimePoint now);
  base::TimePoint nextWakeup() const;

  engine::Load reportedLoad(base::TimePoint now) const { return loads_.reported(now); }
  std::vector<engine::GenerateEvent> takeEvents();
  std::vector<Violation> takeViolations();

 private:
  struct AttemptKey {
    base::RequestId request;
    base::AttemptId attempt;
    auto operator<=>(const AttemptKey&) const = default;
  };
  struct Attempt {
    engine::GenerateRequest request;
    HeldKey replica;
    std::uint32_t nextOffset = 0;
    std::uint32_t tokenCount = 0;  ///< Length of the whole answer.
    base::TimePoint nextTokenAt;
    bool denied = false;  ///< Sabotage denyExecution hits this one.
  };
  /// Order of the queue: the smallest first.
  struct Place {
    bool batch = false;
    std::uint64_t arrival = 0;
    auto operator<=>(const Place&) const = default;
  };
  using Running = std::map<AttemptKey, Attempt>;
  using Queue = std::map<Place, Attempt>;

  static AttemptKey keyOf(const engine::GenerateRequest& request);
  std::optional<base::Error> refusalOf(const engine::GenerateRequest& request, bool leaving) const;
  void checkSubmission(base::TimePoint now, const engine::GenerateRequest& request);
  bool isKnown(const AttemptKey& key) const;
  bool isRunningElsewhere(const engine::GenerateRequest& request) const;
  Queue::iterator findQueued(const AttemptKey& key);
  void start(base::TimePoint now, Attempt attempt);
  void startQueued(base::TimePoint now);
  void emitNext(base::TimePoint now, Running::iterator running);
  std::string tokenText(const AttemptKey& key, const Attempt& attempt);
  void finish(base::TimePoint now, Running::iterator running);
  void remove(base::TimePoint now, Running::iterator running);
  Running::iterator earliest();
  void recordLoad(base::TimePoint now);

  EngineModelOptions options_;
  Accelerators& accelerators_;
  PrefixCache& prefixes_;
  LoadHistory loads_;
  Running running_;
  Queue queue_;
  std::uint64_t arrivals_ = 0;
  std::uint64_t starts_ = 0;
  std::uint64_t tokens_ = 0;
  std::uint64_t exports_ = 0;
  std::vector<engine::GenerateEvent> events_;
  std::vector<Violation> violations_;
};

}  // namespace walnut::standin
