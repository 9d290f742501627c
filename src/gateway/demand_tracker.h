#pragma once
/// @file
/// The demand for models and the load on workers at this gateway, as the registry is told of them.

#include <limits>
#include <map>
#include <string>
#include <tuple>

#include "gateway/worker_directory.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// What became of an attempt, for the registry's outlier detection.
enum class AttemptOutcome : std::uint8_t {
  answered,  ///< The worker has begun to answer, with success.
  failed,    ///< It failed, was not reached or went silent.
  stalled,   ///< The same, while it had requests for all its slots: it may only be slow.
};

/// How urgent a request is.
struct Urgency {
  std::uint32_t priority = 0;  ///< 0 is the highest.
  base::Duration targetLatency{0};
};

class DemandTracker {
 public:
  void arrived(const std::string& service, const std::string& model, const std::string& adapter,
               const Urgency& urgency);
  void waitBegan(const std::string& service, const std::string& model, const std::string& adapter,
                 const Urgency& urgency);
  void waitEnded(const std::string& service, const std::string& model, const std::string& adapter);

  void attemptSettled(const registry::WorkerId& worker, const std::string& service,
                      const std::string& model, const std::string& adapter, AttemptOutcome outcome);

  /// Outcomes that no leader hears say nothing of workers by the time one does: what cut the
  /// gateway off from the leader may have cut it off from them.
  void dropOutcomes();

  /// @return true if something waits that the last update did not tell.
  bool urgent() const { return urgent_; }
  /// @return the present state; arrivals since the last call.
  registry::DemandUpdate takeUpdate(const WorkerDirectory& directory);

 private:
  struct Figures {
    std::uint32_t waiting = 0;
    std::uint32_t arrivals = 0;
    std::uint32_t answered = 0;
    std::uint32_t failed = 0;
    std::uint32_t priority = std::numeric_limits<std::uint32_t>::max();
    base::Duration targetLatency = base::Duration::max();

    void note(const Urgency& urgency);
  };
  using Key = std::tuple<std::string, std::string, std::string>;

  std::map<Key, Figures> figures_;
  std::map<registry::WorkerId, registry::WorkerOutcomes> outcomes_;  ///< Since the last update.
  bool urgent_ = false;
};

}  // namespace walnut::gateway
