#pragma once
/// @file
/// The workers that a gateway knows of: what the registry says of them, and what this gateway sees.

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "routing/circuit_breaker.h"
#include "routing/moving_average.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// Share of failures among recent attempts. Fades with time, so that a worker that is not chosen
/// any more is tried again.
class FailureShare {
 public:
  void observe(bool failed, base::TimePoint now);
  double value(base::TimePoint now) const;

 private:
  double share_ = 0;
  base::TimePoint updatedAt_;
};

/// One worker. The registry's part is replaced by each update; the rest is this gateway's own.
class Worker {
 public:
  explicit Worker(registry::WorkerView initial) : view(std::move(initial)) {}

  registry::WorkerView view;
  std::uint32_t running = 0;                            ///< Requests of this gateway.
  std::map<std::string, std::uint32_t> runningByModel;  ///< The same; none at 0.
  std::uint32_t runningInAll = 0;                       ///< Requests of all gateways, as last told.
  std::uint32_t runningElsewhere = 0;                   ///< Those of other gateways.
  routing::CircuitBreaker breaker;
  routing::MovingAverage latency;  ///< To the head of an answer, or to a stream's first event.
  FailureShare failures;

  /// @return true if it is known to hold the model; always for a plain service (no model).
  bool holds(const std::string& model, const std::string& adapter, base::TimePoint now) const;
  /// @name A request of this gateway begins or ends there
  /// @{
  void began(const std::string& model);
  void ended(const std::string& model);
  /// @}

  /// @return requests of all gateways that are there, as far as is known.
  std::uint32_t runningTogether() const { return running + runningElsewhere; }
  /// @return true if all its slots are taken, as far as is known; never if it did not tell of any.
  bool full() const { return view.record.slots > 0 && runningTogether() >= view.record.slots; }
  /// The worker said that its queue is full as well: believed until the next view.
  void saidFull();

  /// The worker said that it does not hold it: not to be asked again for a while.
  void missed(const std::string& model, const std::string& adapter, base::TimePoint until);

 private:
  std::map<std::pair<std::string, std::string>, base::TimePoint> missedUntil_;
};

/// Entries stay valid while somebody holds them, also when the worker is gone.
class WorkerDirectory {
 public:
  using WorkerPtr = std::shared_ptr<Worker>;

  void apply(const registry::ViewUpdate& update);

  const std::map<registry::WorkerId, WorkerPtr>& workers() const { return workers_; }
  /// @return workers that may get new work for a service.
  std::vector<WorkerPtr> candidates(const std::string& service) const;
  /// @return keys of workers that have gone since the last call.
  std::vector<registry::WorkerId> takeGone() { return std::exchange(gone_, {}); }

 private:
  void takeLoads(const registry::ViewUpdate& update);
  void takeView(const registry::WorkerView& view);
  void remove(const registry::WorkerId& id);

  std::map<registry::WorkerId, WorkerPtr> workers_;
  std::vector<registry::WorkerId> gone_;
};

}  // namespace walnut::gateway
