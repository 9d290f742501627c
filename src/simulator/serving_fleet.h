#pragma once
/// @file
/// A leader, gateways, workers of a model service and their callers in virtual time, with workers
/// that say they are well and fail what they are sent; and the account of which models and adapters
/// were served.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "registry/leader_duties.h"
#include "simulator/serving_gateway.h"
#include "simulator/serving_worker.h"

namespace walnut::simulator {

struct ServingFleetOptions {
  std::uint64_t seed = 1;
  std::size_t gateways = 8;
  std::size_t workers = 12;
  std::size_t modelsPerWorker = 3;  ///< That fit.
  std::size_t models = 24;
  std::size_t adapters = 4;       ///< Of the first model.
  std::size_t popularModels = 4;  ///< They get `popularShare` of the requests, the first one most.
  double popularShare = 0.6;
  double requestsPerSecond = 24;
  double storeLoadsPerSecond = 12;
  /// Share of the requests whose route may not be repeated.
  double unrepeatableShare = 0.2;
  ServingWorkerOptions worker;
};

/// Requests for one model or adapter, by their callers.
struct ServedCount {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  std::uint64_t lost = 0;  ///< Failed for good, or given up; the rest is under way.
  base::TimePoint firstAt;
  base::TimePoint lastAt;
};

class ServingFleet : private ServingGatewayLinks {
 public:
  explicit ServingFleet(const ServingFleetOptions& options);
  ~ServingFleet() override;

  void run(base::Duration duration);

  /// @name Faults
  /// @{
  /// Gives so many workers that fault, drawn among those that have none.
  /// @return them.
  std::vector<std::size_t> failWorkers(std::size_t count, WorkerFault fault);
  /// The same from some time on until another, both from now.
  void failWorkers(base::Duration begin, base::Duration end, std::size_t count, WorkerFault fault);
  /// @}

  /// Only requests that are made from now on are counted.
  void countAnew() {
    counts_.clear();
    ++counting_;
  }
  /// @return the models and adapters that were asked for four times or more, over `span` or longer,
  /// and never served.
  std::vector<std::string> neverServed(base::Duration span) const;
  /// @return the share of the requests that were served, of those that are over.
  double servedShare() const;
  /// @return orders for models that were accepted.
  std::uint64_t modelOrders() const { return modelOrders_; }
  /// @return requests that reached workers with a fault.
  std::uint64_t requestsToFailing() const { return requestsToFailing_; }

 private:
  struct Caller;
  class Reader;

  // ServingGatewayLinks
  void toLeader(std::size_t gateway, registry::MessageBody message) override;
  void toWorker(std::size_t gateway, const registry::WorkerRecord& worker,
                std::shared_ptr<ServingCall> call) override;

  void runLeader();
  void carryOut(const registry::RegistryAction& action);
  void order(const registry::SendOrder& order);
  void heard(ServingWorker& worker);
  void beat(std::size_t worker);
  void ask();
  std::string drawTarget();
  void send(const Caller& from);
  void ended(const Caller& caller, bool served);
  void count(const Caller& caller, bool served);
  ServingWorker* find(const registry::WorkerId& id);

  const ServingFleetOptions options_;
  Scheduler scheduler_;
  runtime::NullEventLog log_;
  registry::RegistryOptions registryOptions_;
  std::unique_ptr<Reader> reader_;
  registry::DocumentCache documents_;
  registry::CellState state_;
  registry::OrderTurns turns_;
  std::unique_ptr<registry::LeaderDuties> leader_;
  std::vector<std::unique_ptr<ServingWorker>> workers_;
  std::vector<std::unique_ptr<ServingGateway>> gateways_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::uint64_t lastRequest_ = 0;
  std::map<std::string, ServedCount> counts_;  ///< By model, or model/adapter.
  std::uint64_t counting_ = 0;                 ///< How often counting began.
  std::uint64_t modelOrders_ = 0;
  std::uint64_t requestsToFailing_ = 0;
};

}  // namespace walnut::simulator
