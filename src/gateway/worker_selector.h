#pragma once
/// @file
/// Load balancing: selects the worker that a request is sent to.

#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/worker_directory.h"
#include "gateway/worker_time_model.h"
#include "routing/moving_average.h"
#include "walnut/base/random.h"
#include "walnut/gateway/dialect.h"

namespace walnut::gateway {

/// Why no worker is available at present, in the order of precedence.
enum class NoWorkerReason : std::uint8_t {
  noWorkers,  ///< The service has no worker.
  notHeld,    ///< No worker holds the model or the adapter.
  excluded,   ///< All that hold it have already failed or refused this request.
  broken,     ///< All remaining ones have an open circuit breaker.
  failing,    ///< All remaining ones fail the requests that they get.
  limited,    ///< The rate limits of the remaining ones are used up.
  full,       ///< A stream could not begin in time. Never the result of a selection.
};

/// Whether a worker's rate limit permits a request of this gateway.
enum class ShareState : std::uint8_t {
  open,         ///< It has no limit, or the granted share covers a request.
  requestable,  ///< The leader may grant a share on request.
  exhausted,    ///< No share is available now.
};

/// Query interface of the selector for the rate limits of workers. Implemented by the gateway.
class ShareLookup {
 public:
  virtual ~ShareLookup() = default;
  virtual ShareState shareState(const registry::WorkerId& worker) = 0;
  virtual bool limited(const registry::WorkerId& worker) const = 0;
  /// @return the time until a share is available, for a worker whose share is exhausted.
  virtual base::Duration shareRetryAfter(const registry::WorkerId& worker) = 0;
};

/// The result of selecting a worker for a request.
struct Selection {
  WorkerDirectory::WorkerPtr worker;  ///< Null if none is available: see `reason`.
  /// The best of the failing workers, if `worker` is null: used where waiting does not help.
  WorkerDirectory::WorkerPtr lastResort;
  /// The best worker for which a share may be requested, if `worker` is null.
  WorkerDirectory::WorkerPtr requestable;
  NoWorkerReason reason = NoWorkerReason::noWorkers;
  /// Time until the limit of some worker permits a request; zero unless the reason is `limited`.
  base::Duration shareAvailableIn{0};
  /// True if the reason is `limited` and other workers of the service have no limit: the model may
  /// be loaded there.
  bool hasUnlimitedWorkers = false;
  /// Expected time until a slot of the worker is free; zero if one is free now, or if the time is
  /// not known.
  base::Duration expectedWait{0};
};

/// The software at which a stream began. Workers of other versions may write other events.
struct StreamSoftware {
  std::string version;       ///< Empty: unknown, so that no other worker is known to be equal.
  registry::WorkerId first;  ///< Incarnation that began it; empty if another gateway's worker did.

  bool equals(const registry::WorkerRecord& worker) const {
    return worker.id == first || (!version.empty() && worker.softwareVersion == version);
  }
};

/// Workers that may be selected for a request.
struct WorkerFilter {
  std::set<registry::WorkerId> excluded;
  std::set<registry::WorkerId> only;  ///< If not empty, no other workers than these.
  /// If set, only workers with this software count as workers of the service.
  std::optional<StreamSoftware> software;

  bool accepts(const registry::WorkerId& worker) const {
    return excluded.count(worker) == 0 && (only.empty() || only.count(worker) != 0);
  }
  bool hasSoftware(const registry::WorkerRecord& worker) const {
    return !software || software->equals(worker);
  }
};

/// Prompt cache affinity: remembers the worker that last processed a prompt, since its cache holds
/// the prompt's shared parts. An estimate: a wrong one costs time only. Bounded, with eviction of
/// the least recently used entry.
class PromptAffinity {
 public:
  void recordSent(const RequestFacts& facts, const registry::WorkerId& worker);
  /// @return the worker that last processed a prompt with the same beginning, or nullptr.
  const registry::WorkerId* find(const RequestFacts& facts) const;

 private:
  struct Entry {
    registry::WorkerId worker;
    std::list<std::string>::iterator use;
  };
  static std::string keyOf(const RequestFacts& facts);

  std::unordered_map<std::string, Entry> entries_;
  std::list<std::string> byUse_;  ///< Most recently used first.
};

struct WorkerSelectorOptions {
  base::ZoneId zone;
  /// Relative difference up to which expected times count as equal. All gateways know the same
  /// loads, some hundred ms old: without this randomization all of them would select the same
  /// worker until the next update.
  double spread = 0.3;
  std::uint64_t seed = 0;
};

/// Selects the worker with the lowest expected time: its observed latency, increased by the
/// requests that run there and by its failures. Workers in the gateway's zone and workers that know
/// the prompt are preferred where the difference is small. A failing worker is a last resort.
///
/// In services that a `WorkerTimeModel` covers, the expected time is that of the model, and only
/// two workers with a free slot are compared, drawn at random in proportion to their speed:
/// hundreds of gateways act on the same estimates, and comparing all workers would send them all to
/// the same one until the next estimates.
class WorkerSelector {
 public:
  /// Returns true if a request to the worker would need no new connection.
  using ConnectedTo = std::function<bool(const registry::WorkerId&)>;

  /// @param shares null: no worker has a limit.
  /// @param times null: no service is selected by a time model.
  WorkerSelector(const WorkerDirectory& directory, const WorkerSelectorOptions& options,
                 ConnectedTo connectedTo, ShareLookup* shares = nullptr,
                 const WorkerTimeModel* times = nullptr)
      : directory_(directory),
        options_(options),
        random_(options.seed),
        draws_(options.seed ^ kDrawSeed),
        connectedTo_(std::move(connectedTo)),
        shares_(shares),
        times_(times) {}

  Selection select(const std::string& service, const RequestFacts& facts,
                   const WorkerFilter& filter, base::TimePoint now);
  /// @return true if the worker may get new requests for the service.
  bool isCandidate(const std::string& service, const registry::WorkerId& worker) const;
  PromptAffinity& affinity() { return affinity_; }
  /// Records for how long a stream of the service, now complete, occupied a slot of its worker.
  void slotHeld(const std::string& service, base::Duration held) {
    slotTimes_[service].observe(held);
  }
  /// @return the mean slot time of streams of the service; 0 if it is not known.
  base::Duration slotTime(const std::string& service) const {
    const auto found = slotTimes_.find(service);
    return found == slotTimes_.end() ? base::Duration::zero()
                                     : found->second.valueOr(base::Duration::zero());
  }

 private:
  /// Workers that hold what a request needs, by their availability.
  struct Candidates {
    std::vector<WorkerDirectory::WorkerPtr> usable;
    std::vector<WorkerDirectory::WorkerPtr> failing;
    std::vector<WorkerDirectory::WorkerPtr> broken;  ///< Only of a stream's own version.
    std::vector<WorkerDirectory::WorkerPtr> requestable;
  };

  ShareState shareState(const Worker& worker) const;
  bool hasUnlimited(const std::string& service) const;
  void addLimited(const WorkerDirectory::WorkerPtr& worker, ShareState shareState,
                  Candidates& candidates, Selection& selection) const;
  base::Duration expectedWait(const std::string& service, const Worker& worker,
                              base::TimePoint now) const;
  WorkerDirectory::WorkerPtr cheapest(const std::vector<WorkerDirectory::WorkerPtr>& workers,
                                      double typicalLatency, const std::string& service,
                                      const RequestFacts& facts, base::TimePoint now);
  double cost(const Worker& worker, double typicalLatency, const registry::WorkerId* preferred,
              base::TimePoint now);

  double weighted(double cost, const Worker& worker, const registry::WorkerId* preferred,
                  base::TimePoint now) const;
  static double failureFactor(const Worker& worker, base::TimePoint now);
  // Selection by the time model (worker_selector_times.cpp).
  WorkerDirectory::WorkerPtr quickest(const std::vector<WorkerDirectory::WorkerPtr>& workers,
                                      const std::string& service, const RequestFacts& facts,
                                      base::TimePoint now);
  std::vector<WorkerDirectory::WorkerPtr> drawTwo(std::vector<WorkerDirectory::WorkerPtr> workers,
                                                  const registry::WorkerId* preferred,
                                                  base::TimePoint now);
  double timeCost(const Worker& worker, double spread, const RequestFacts& facts,
                  const registry::WorkerId* preferred, base::TimePoint now);

  static constexpr std::uint64_t kDrawSeed = 0x9e3779b97f4a7c15;

  const WorkerDirectory& directory_;
  const WorkerSelectorOptions options_;
  base::Random random_;
  /// Source of the draws in services that the time model covers. Separate, so that the selections
  /// in all other services don't depend on them.
  base::Random draws_;
  const ConnectedTo connectedTo_;
  ShareLookup* const shares_;
  const WorkerTimeModel* const times_;
  PromptAffinity affinity_;
  std::map<std::string, routing::MovingAverage> slotTimes_;  ///< Slot times of streams, by service.
};

}  // namespace walnut::gateway
