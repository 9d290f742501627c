#pragma once
/// @file
/// What gateways report of the demand for models and of the load on workers.

#include <compare>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "registry/decaying_rate.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// A model of a service, or an adapter over it.
struct ModelKey {
  std::string service;
  std::string model;
  std::string adapter;  ///< Empty: the model itself.
  auto operator<=>(const ModelKey&) const = default;

  ModelKey withoutAdapter() const { return {service, model, {}}; }
};

/// Demand for a model and its adapters adds up in the model's own figures.
struct DemandFigures {
  std::uint32_t waiting = 0;
  double rate = 0;              ///< Arrivals a second, a decaying mean.
  base::TimePoint lastArrival;  ///< Zero if there was none.
  std::uint32_t priority = 0;   ///< Of the most urgent ones lately; 0 is the highest.
  /// The shortest target latency lately; 0 if there is none.
  base::Duration targetLatency{0};
  /// Since the first request after the last answer; 0: the last one was answered.
  base::Duration unansweredFor{0};
  /// Requests since the last answer, or since none came for some time.
  std::uint32_t unanswered = 0;
};

/// A model or an adapter that is asked for and gets no answer, or does so again.
struct AnswerChange {
  ModelKey key;
  bool answered = false;
  base::Duration lasted{0};    ///< Since the first request that got no answer.
  std::uint32_t requests = 0;  ///< Since then.
  std::uint32_t failed = 0;    ///< Attempts of these that a worker failed.
};

/// Kept by the leader; empty at the start of its leadership. Totals over the gateways are kept up
/// to date with each report, so that reading them does not depend on the number of gateways.
class DemandBook {
 public:
  using RunningByModel = std::map<std::string, std::uint32_t>;

  void update(protocol::ConnectionId gateway, const DemandUpdate& update, base::TimePoint now);
  void forget(protocol::ConnectionId gateway);

  DemandFigures figures(const ModelKey& key, base::TimePoint now) const;
  /// @return arrivals a second for adapters of a model, all together.
  double adapterRate(const std::string& service, const std::string& model,
                     base::TimePoint now) const;
  /// @return the requests of all gateways on that worker.
  std::uint32_t running(const WorkerId& worker) const;
  /// @return those of one model.
  std::uint32_t running(const WorkerId& worker, const std::string& model) const;
  /// @return true if some gateway can't reach the worker.
  bool unreachable(const WorkerId& worker) const { return unreachable_.count(worker) != 0; }
  /// @return the running requests of all workers that have any.
  std::vector<WorkerLoad> loads() const;
  /// @return arrivals a second for all models of a service.
  double serviceRate(const std::string& service, base::TimePoint now) const;
  /// @return models and adapters of the service that requests came for since then.
  std::vector<ModelKey> askedSince(const std::string& service, base::TimePoint since) const;
  /// @return all models and adapters for which requests wait.
  const std::map<ModelKey, std::uint32_t>& waiting() const { return waiting_; }
  /// @return changes since the last call; of those without an answer only what has lasted.
  std::vector<AnswerChange> takeAnswerChanges() { return std::exchange(answerChanges_, {}); }

 private:
  struct Gateway {
    std::map<ModelKey, std::uint32_t> waiting;
    std::map<WorkerId, RunningByModel> running;
    std::set<WorkerId> unreachable;
  };
  struct History {
    DecayingRate arrivals;
    base::TimePoint lastArrival;
    std::uint32_t priority = 0;
    base::Duration targetLatency{0};
    base::TimePoint urgencyAt;  ///< When priority and target were last as urgent as this.
    /// @name Since the last answer
    /// @{
    base::TimePoint unansweredSince;  ///< Of the first request; zero: none came.
    std::uint32_t requests = 0;
    std::uint32_t failed = 0;
    std::uint32_t unanswered = 0;  ///< As in DemandFigures.
    bool told = false;             ///< That there is none.
    /// @}
  };

  void count(const ModelKey& key, const ModelDemand& demand, base::TimePoint now);
  void noteAnswers(const ModelKey& key, History& history, const ModelDemand& demand,
                   base::TimePoint now);
  static void noteUrgency(History& history, const ModelDemand& demand, base::TimePoint now);
  void add(const Gateway& gateway);
  void subtract(const Gateway& gateway);

  std::map<protocol::ConnectionId, Gateway> gateways_;
  std::map<ModelKey, History> history_;

  // Totals over the gateways; no entry is 0.
  std::map<ModelKey, std::uint32_t> waiting_;
  std::map<ModelKey, std::uint32_t> modelWaiting_;  ///< With those for adapters.
  std::map<WorkerId, RunningByModel> running_;
  std::map<WorkerId, std::uint32_t> unreachable_;
  std::vector<AnswerChange> answerChanges_;
};

}  // namespace walnut::registry
