#pragma once
/// @file
/// Collects the demand for models and the load on workers at this gateway, for reports to the
/// registry.

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "gateway/worker_directory.h"
#include "walnut/catalog/document.h"
#include "walnut/gateway/dialect.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// Outcome of an attempt, for the registry's outlier detection.
enum class AttemptOutcome : std::uint8_t {
  answered,  ///< The worker has begun a successful response.
  failed,    ///< The worker failed, was not reached or became unresponsive.
  stalled,   ///< The same while all its slots were taken: it may only be slow.
};

/// How urgent a request is.
struct Urgency {
  std::uint32_t priority = 0;  ///< 0 is the highest.
  base::Duration targetLatency{0};
};

/// @return how urgent a request of that route is; a tenant's priority goes before the route's.
inline Urgency urgencyOf(const RequestFacts& facts, const catalog::Route& route) {
  return {facts.tenantPriority.value_or(route.priority), route.targetLatency};
}

class DemandTracker {
 public:
  void requestArrived(const std::string& service, const std::string& model,
                      const std::string& adapter, const Urgency& urgency);
  void waitBegan(const std::string& service, const std::string& model, const std::string& adapter,
                 const Urgency& urgency);
  void waitEnded(const std::string& service, const std::string& model, const std::string& adapter);

  /// @name Waiting streams that only workers of one software version can continue
  /// @{
  void versionWaitBegan(const std::string& service, const std::string& model,
                        const std::string& adapter, const std::string& version);
  void versionWaitEnded(const std::string& service, const std::string& model,
                        const std::string& adapter, const std::string& version);
  /// @return the present ones; nothing if there are none, as in the last call.
  std::optional<registry::VersionDemand> takeVersionDemand();
  /// @}

  void attemptSettled(const registry::WorkerId& worker, const std::string& service,
                      const std::string& model, const std::string& adapter, AttemptOutcome outcome);

  /// Discards outcomes that could not be reported. By the time a leader is followed they say
  /// nothing about workers any more: the fault that separated the gateway from the leader may have
  /// separated it from the workers as well.
  void dropOutcomes();

  /// @return true if a request has begun to wait since the last update.
  bool isUrgent() const { return isUrgent_; }
  /// @return the present state, with the arrivals and outcomes since the last call.
  registry::DemandUpdate takeUpdate(const WorkerDirectory& directory);

 private:
  struct Counters {
    std::uint32_t waiting = 0;
    std::uint32_t arrivals = 0;
    std::uint32_t answered = 0;
    std::uint32_t failed = 0;
    std::uint32_t priority = std::numeric_limits<std::uint32_t>::max();
    base::Duration targetLatency = base::Duration::max();

    void note(const Urgency& urgency);
  };
  using Key = std::tuple<std::string, std::string, std::string>;

  using VersionKey = std::tuple<std::string, std::string, std::string, std::string>;

  std::map<Key, Counters> counters_;
  std::map<VersionKey, std::uint32_t> versionWaits_;  ///< Without zeros.
  bool isVersionDemandReported_ = false;              ///< The last one reported was not empty.
  std::map<registry::WorkerId, registry::WorkerOutcomes> outcomes_;  ///< Since the last update.
  bool isUrgent_ = false;
};

}  // namespace walnut::gateway
