#pragma once
/// @file
/// Tracks the demand for models and the load on workers, as reported by gateways.

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "registry/decaying_rate.h"
#include "registry/demand_forecast.h"
#include "registry/recent_requests.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Identifies a model of a service, or an adapter of such a model.
struct ModelKey {
  std::string service;
  std::string model;
  std::string adapter;  ///< Empty if the key is that of the model itself.
  auto operator<=>(const ModelKey&) const = default;

  ModelKey withoutAdapter() const { return {service, model, {}}; }
};

/// The demand for one model or adapter. The figures of a model include those of its adapters.
struct DemandFigures {
  std::uint32_t waiting = 0;    ///< Requests that wait at gateways.
  double rate = 0;              ///< Arrivals per second, a decaying mean.
  double servedRate = 0;        ///< Requests per second that workers begin to answer, likewise.
  base::TimePoint lastArrival;  ///< Time of the last request; zero if there was none.
  std::uint32_t priority = 0;   ///< Highest priority of recent requests; 0 is the highest.
  /// The shortest target latency of recent requests; 0 if there is none.
  base::Duration targetLatency{0};
  /// Time since the first request after the last answer; 0 if the last request was answered.
  base::Duration unservedTime{0};
  /// Requests since the last answer, of the last `RecentRequests::kPeriod`.
  std::uint32_t unservedRequests = 0;
};

/// A model or adapter whose requests have become unserved, or are served again.
struct ServedChange {
  ModelKey key;
  bool answered = false;
  base::Duration lasted{0};    ///< Time since the first unserved request.
  std::uint32_t requests = 0;  ///< Requests since then.
  std::uint32_t failed = 0;    ///< Attempts of these requests that failed at a worker.
};

/// The demand for models and adapters and the load on workers, added up over all gateways. The
/// leader has one; it is empty at the start of a leadership. The totals are updated with each
/// report, so that the cost of reading them doesn't depend on the number of gateways.
class DemandBook {
 public:
  using RunningByModel = std::map<std::string, std::uint32_t>;

  void update(protocol::ConnectionId gateway, const DemandUpdate& update, base::TimePoint now);
  /// Replaces the gateway's requests that wait for workers of particular software versions.
  void updateVersions(protocol::ConnectionId gateway, const VersionDemand& demand);
  void forget(protocol::ConnectionId gateway);

  DemandFigures figures(const ModelKey& key, base::TimePoint now) const;
  /// @return the demand expected after that time, as a multiple of the present demand.
  double growth(const ModelKey& key, base::Duration ahead, base::TimePoint now) const;
  /// @return arrivals per second for all adapters of a model together.
  double adapterRate(const std::string& service, const std::string& model,
                     base::TimePoint now) const;
  /// @return the number of requests that all gateways have at that worker.
  std::uint32_t running(const WorkerId& worker) const;
  /// @return the number of requests for one model that all gateways have at that worker.
  std::uint32_t running(const WorkerId& worker, const std::string& model) const;
  /// @return true if at least one gateway can't reach the worker.
  bool unreachable(const WorkerId& worker) const { return unreachable_.count(worker) != 0; }
  /// @return the number of requests at each worker that has any.
  std::vector<WorkerLoad> loads() const;
  /// @return arrivals per second for all models of a service.
  double serviceRate(const std::string& service, base::TimePoint now) const;
  /// @return the models and adapters of the service that were requested since then.
  std::vector<ModelKey> requestedSince(const std::string& service, base::TimePoint since) const;
  /// @return the number of waiting requests by model and adapter, without zeros.
  const std::map<ModelKey, std::uint32_t>& waiting() const { return waiting_; }
  /// @return the software versions that requests for the model or adapter wait for, with their
  /// number. The figures of a model include those of its adapters.
  std::map<std::string, std::uint32_t> versionsWaitedFor(const ModelKey& key) const;
  /// @return the changes since the last call. Models are reported as unserved only once they have
  /// been so for some time.
  std::vector<ServedChange> takeServedChanges() { return std::exchange(answerChanges_, {}); }

 private:
  struct Gateway {
    std::map<ModelKey, std::uint32_t> waiting;
    std::map<WorkerId, RunningByModel> running;
    std::set<WorkerId> unreachable;
  };
  struct History {
    DecayingRate arrivals;
    DecayingRate answers;
    ArrivalTrend trend;
    base::TimePoint lastArrival;
    std::uint32_t priority = 0;
    base::Duration targetLatency{0};
    base::TimePoint urgencyAt;  ///< When a request was last as urgent as priority and target say.
    /// @name Counts since the last answer
    /// @{
    base::TimePoint unservedSince;  ///< Time of the first request; zero if none came.
    std::uint32_t requests = 0;
    std::uint32_t failed = 0;
    RecentRequests unservedRequests;
    bool isReported = false;  ///< True once the model was reported as unserved.
    /// @}
  };

  void count(const ModelKey& key, const ModelDemand& demand, base::TimePoint now);
  void updateUnserved(const ModelKey& key, History& history, const ModelDemand& demand,
                      base::TimePoint now);
  static void updateUrgency(History& history, const ModelDemand& demand, base::TimePoint now);
  void replace(protocol::ConnectionId gateway, Gateway reported);
  void add(const Gateway& gateway);
  void subtract(const Gateway& gateway);

  std::map<protocol::ConnectionId, Gateway> gateways_;
  std::map<protocol::ConnectionId, std::vector<VersionWait>>
      versionWaits_;  ///< Without empty ones.
  std::map<ModelKey, History> history_;
  std::optional<base::TimePoint> since_;  ///< Time of the first report.

  // Totals over the gateways, without entries of 0.
  std::map<ModelKey, std::uint32_t> waiting_;
  std::map<ModelKey, std::uint32_t> modelWaiting_;  ///< By model, adapters included.
  std::map<WorkerId, RunningByModel> running_;
  std::map<WorkerId, std::uint32_t> unreachable_;
  std::vector<ServedChange> answerChanges_;
};

}  // namespace walnut::registry
