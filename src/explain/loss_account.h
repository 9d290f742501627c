#pragma once
/// @file
/// Requests that were refused, failed or late, counted by cause, from the logs of gateways and of
/// the registry.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "explain/log_line.h"

namespace walnut::explain {

enum class LossKind : std::uint8_t { refused, failed, late };

/// The first of these that fits is a request's cause.
enum class LossCause : std::uint8_t {
  noDocument,      ///< The gateway knew no document, or was stopping.
  workerFailed,    ///< An attempt ran, or may have, and failed; or only failing ones had it.
  modelFromStore,  ///< It waited for a model that came from the weight store.
  modelFromDisk,   ///< It waited for a model that came from a worker's disk or memory.
  modelNotLoaded,  ///< It waited for a model, and no load of it was seen to end.
  adapter,         ///< It waited for an adapter.
  noWorker,        ///< It waited for any worker at all.
  allFull,         ///< Refused, as all replicas were full; or the retries were used up by that.
  callerLeft,      ///< Its caller left, or its time ran out, at a worker that had not begun.
  queue,           ///< The first event came late, from the one worker that it was sent to.
  pause,           ///< A pause between events was too long.
  quarantined,     ///< Refused, as workers had ended under it.
  unknownKey,      ///< Refused, as its key is nobody's.
  unconfirmed,     ///< Refused, as keys or quotas were not confirmed by a leader.
  quota,           ///< Refused, as its tenant's quota was used up.
  modelTooLate,    ///< Refused, as its model was expected after its caller would have left.
  limited,         ///< Refused, as the limits that its workers name left no room.
};

std::string_view lossKindName(LossKind kind);
std::string_view lossCauseName(LossCause cause);

/// Requests of one kind, cause, route and model.
struct Loss {
  LossKind kind = LossKind::late;
  LossCause cause = LossCause::queue;
  std::string route;
  std::string model;
  std::uint64_t requests = 0;
  std::uint64_t waitedMillis = 0;  ///< For a worker, in all.
  std::string example;             ///< Id of a request.
};

/// Takes lines in the order of their logs; of different processes in any order.
class LossAccount {
 public:
  void take(const LogLine& line);
  /// @return what was lost, the most frequent first.
  std::vector<Loss> losses() const;
  std::uint64_t requests() const { return ended_.size() + refused_.size(); }
  /// @return lines that processes say they have dropped: what they told of is not counted.
  std::uint64_t droppedLines() const { return droppedLines_; }

 private:
  struct Story {
    std::string waitedFor;  ///< Reason of the first wait; empty: it never waited.
    std::string waitBeganAt;
    bool forAdapter = false;
    bool ranAndFailed = false;
    bool saidFull = false;  ///< Some worker did not run it.
  };
  struct Load {
    std::string endedAt;
    bool fromStore = false;
  };

  LossCause causeOf(const LogLine& ended, LossKind kind) const;
  LossCause coldCause(const LogLine& ended, const Story& story) const;

  std::map<std::string, Story> stories_;  ///< By request.
  std::vector<LogLine> ended_;
  std::map<std::string, LogLine> refused_;  ///< Before they reached an exchange, by request.
  std::map<std::string, std::vector<Load>> loads_;  ///< By model.
  std::uint64_t droppedLines_ = 0;
};

}  // namespace walnut::explain
