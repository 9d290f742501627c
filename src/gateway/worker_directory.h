#pragma once
/// @file
/// Directory of the known workers: their state by the registry, and this gateway's own
/// observations.

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "routing/circuit_breaker.h"
#include "routing/moving_average.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// Fraction of failures among recent attempts. Decays with time, so that a worker that is no longer
/// selected gets requests again.
class FailureRatio {
 public:
  void observe(bool failed, base::TimePoint now);
  double value(base::TimePoint now) const;

 private:
  double ratio_ = 0;
  base::TimePoint updatedAt_;
};

/// A worker as known at this gateway. The registry's part is replaced by each update; the rest is
/// observed by this gateway.
class Worker {
 public:
  explicit Worker(registry::WorkerView initial) : view(std::move(initial)) {}

  registry::WorkerView view;
  std::uint32_t running = 0;                            ///< In-flight requests of this gateway.
  std::map<std::string, std::uint32_t> runningByModel;  ///< The same by model; without zeros.
  std::uint32_t runningAtAllGateways = 0;               ///< Those of all gateways, as reported.
  std::uint32_t runningElsewhere = 0;                   ///< Those of other gateways.
  routing::CircuitBreaker breaker;
  routing::MovingAverage latency;         ///< To the response head, or to a stream's first event.
  routing::MovingAverage firstEventTime;  ///< To the first event, of streams only.
  FailureRatio failures;
  bool answersWithoutId = false;  ///< Some answer came without the id of its request.

  /// @return true if the worker is known to hold the model and adapter; always true for a plain
  /// service (no model).
  bool holds(const std::string& model, const std::string& adapter, base::TimePoint now) const;
  /// @name Begin and end of a request of this gateway at the worker
  /// @{
  void requestBegan(const std::string& model);
  void requestEnded(const std::string& model);
  /// @}

  /// @return the number of requests of all gateways at the worker, as far as known.
  std::uint32_t totalRunning() const { return running + runningElsewhere; }
  /// @return true if all slots are taken, as far as known; false for a worker without a known
  /// number of slots.
  bool full() const { return view.record.slots > 0 && totalRunning() >= view.record.slots; }
  /// Records the worker's answer that its queue is full as well. It counts until the next view.
  void markFull();

  /// Records the worker's answer that it does not hold the model or adapter. No such request is
  /// sent there until the given time.
  void markMissing(const std::string& model, const std::string& adapter, base::TimePoint until);

 private:
  std::map<std::pair<std::string, std::string>, base::TimePoint> missingUntil_;
};

/// The workers by id. An entry stays valid while it is referenced, also after the worker was
/// removed.
class WorkerDirectory {
 public:
  using WorkerPtr = std::shared_ptr<Worker>;

  void apply(const registry::ViewUpdate& update);

  const std::map<registry::WorkerId, WorkerPtr>& workers() const { return workers_; }
  /// @return workers that may get new requests for a service.
  std::vector<WorkerPtr> candidates(const std::string& service) const;
  /// @return ids of workers that were removed since the last call.
  std::vector<registry::WorkerId> takeRemoved() { return std::exchange(removed_, {}); }

 private:
  void applyLoads(const registry::ViewUpdate& update);
  void applyView(const registry::WorkerView& view);
  void remove(const registry::WorkerId& id);

  std::map<registry::WorkerId, WorkerPtr> workers_;
  std::vector<registry::WorkerId> removed_;
};

}  // namespace walnut::gateway
