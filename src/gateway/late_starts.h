#pragma once
/// @file
/// The streams that wait at this gateway since they can't begin in time, in services whose replicas
/// are slow to add (see `catalog::replicasAreSlowToAdd`).

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "gateway/return_schedule.h"
#include "gateway/worker_directory.h"
#include "gateway/worker_selector.h"
#include "walnut/base/random.h"
#include "walnut/catalog/document.h"
#include "walnut/event/scheduler.h"

namespace walnut::gateway {

class Exchange;

class LateStarts {
 public:
  LateStarts(event::Scheduler& scheduler, const WorkerDirectory& directory,
             const WorkerSelector& selector, std::uint64_t seed)
      : scheduler_(scheduler),
        directory_(directory),
        selector_(selector),
        random_(seed),
        reviewTimer_(scheduler.createTimer([this] { review(); })) {}

  void documentApplied(const catalog::Document& document);
  /// Reviews the waiting streams after an update of the loads.
  void viewReceived(std::uint32_t gateways);

  /// @return true if streams of the service may begin late instead of being refused.
  bool appliesTo(const std::string& service) const { return slowServices_.count(service) != 0; }
  std::uint32_t gateways() const { return gateways_; }
  /// @return the mean time between two slots of the model becoming free, over all its replicas; 0
  /// if it is not known.
  base::Duration slotInterval(const std::string& service, const RequestFacts& facts) const;
  ReturnSchedule& returnSchedule() { return returnSchedule_; }
  /// @return the time until a waiting stream is examined again, if no update comes before. It
  /// varies, since all gateways act on the same loads.
  base::Duration reviewDelay();

  /// Identifies a waiting stream. Streams of a model are sent in the order of their deadlines.
  struct Place {
    base::TimePoint deadline;
    std::uint64_t number = 0;  ///< Of the exchange.

    bool operator<(const Place& other) const {
      return std::pair(deadline, number) < std::pair(other.deadline, other.number);
    }
  };
  using ModelName = std::pair<std::string, std::string>;  ///< Service and model.

  /// @return the number of waiting streams of the model with an earlier place.
  std::size_t countBefore(const ModelName& model, const Place& place) const;
  void add(const ModelName& model, const Place& place, Exchange& exchange);
  /// Removes a stream, if it waits. If it was the first one of its model, the next one is examined.
  void remove(const ModelName& model, const Place& place);

 private:
  using Line = std::map<Place, Exchange*>;
  void review();
  void reviewFirst(const ModelName& model);

  event::Scheduler& scheduler_;
  const WorkerDirectory& directory_;
  const WorkerSelector& selector_;
  base::Random random_;
  event::TimerPtr reviewTimer_;
  std::set<ModelName> toReview_;  ///< Models whose first stream has changed.
  std::set<std::string> slowServices_;
  std::uint32_t gateways_ = 1;
  ReturnSchedule returnSchedule_;
  std::map<ModelName, Line> lines_;  ///< Without empty ones.
};

}  // namespace walnut::gateway
