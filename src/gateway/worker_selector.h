#pragma once
/// @file
/// Which worker a request goes to.

#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/worker_directory.h"
#include "routing/moving_average.h"
#include "walnut/base/random.h"
#include "walnut/gateway/dialect.h"

namespace walnut::gateway {

/// Why no worker can be had at present.
enum class NoWorkerReason : std::uint8_t {
  noWorkers,  ///< The service has none.
  notHeld,    ///< None holds the model or the adapter.
  excluded,   ///< All that could have refused this request already.
  broken,     ///< All that could have an open circuit breaker.
  failing,    ///< All that could fail what they are sent.
  limited,    ///< The limits of those that could leave no room.
};

/// Whether a worker's limit leaves room for a request of this gateway.
enum class ShareStanding : std::uint8_t {
  open,     ///< It has no limit, or there is a share for one more.
  askable,  ///< The leader may grant one.
  spent,    ///< There is none to be had now.
};

/// What the selector asks about workers with limits. Implemented by the gateway.
class ShareView {
 public:
  virtual ~ShareView() = default;
  virtual ShareStanding standing(const registry::WorkerId& worker) = 0;
  virtual bool limited(const registry::WorkerId& worker) const = 0;
  /// @return until there is a share, of a worker whose share is spent.
  virtual base::Duration shareRetryAfter(const registry::WorkerId& worker) = 0;
};

struct Selection {
  WorkerDirectory::WorkerPtr worker;  ///< Null: see `reason`.
  /// The best of the failing workers if `worker` is null: better than none.
  WorkerDirectory::WorkerPtr lastResort;
  /// The best worker for which a share may be asked, if `worker` is null.
  WorkerDirectory::WorkerPtr askable;
  NoWorkerReason reason = NoWorkerReason::noWorkers;
  /// Until some limited worker has room; zero unless the reason is `limited`.
  base::Duration shareIn{0};
  /// The reason is `limited`, and other workers of the service have no limit: what the request
  /// needs may be brought up there.
  bool othersUnlimited = false;
  /// Until a slot of the worker is expected to be free; zero if one is, or if that is not known.
  base::Duration expectedWait{0};
};

/// Remembers which worker read a prompt last, as its cache holds the prompt's shared parts. A
/// guess: being wrong costs time only. Bounded; forgets what was used least recently.
class PromptAffinity {
 public:
  void sent(const RequestFacts& facts, const registry::WorkerId& worker);
  /// @return the worker that last read a prompt beginning alike, or nullptr.
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
  /// Expected times that differ by up to this share count as equal. All gateways have the same
  /// loads of some hundred ms ago: without it each of them would choose the same worker meanwhile.
  double spread = 0.3;
  std::uint64_t seed = 0;
};

/// Picks the worker with the least expected time: its observed latency, grown by the requests that
/// run there and by its failures; workers of the own zone and those that know the prompt are
/// preferred when that makes no great difference. One that fails what it is sent is a last resort.
class WorkerSelector {
 public:
  /// Whether a request to a worker would need no new connection.
  using ConnectedTo = std::function<bool(const registry::WorkerId&)>;

  /// @param shares null: no worker has a limit.
  WorkerSelector(const WorkerDirectory& directory, const WorkerSelectorOptions& options,
                 ConnectedTo connectedTo, ShareView* shares = nullptr)
      : directory_(directory),
        options_(options),
        random_(options.seed),
        connectedTo_(std::move(connectedTo)),
        shares_(shares) {}

  Selection select(const std::string& service, const RequestFacts& facts,
                   const std::set<registry::WorkerId>& excluded, base::TimePoint now);
  PromptAffinity& affinity() { return affinity_; }
  /// A stream of that service has ended, and held a slot of its worker for so long.
  void slotHeld(const std::string& service, base::Duration held) {
    slotTimes_[service].observe(held);
  }

 private:
  /// Workers that could take a request, by what speaks against it.
  struct Candidates {
    std::vector<WorkerDirectory::WorkerPtr> usable;
    std::vector<WorkerDirectory::WorkerPtr> failing;
    std::vector<WorkerDirectory::WorkerPtr> askable;
  };

  ShareStanding standing(const Worker& worker) const;
  bool hasUnlimited(const std::string& service) const;
  void addLimited(const WorkerDirectory::WorkerPtr& worker, ShareStanding standing,
                  Candidates& candidates, Selection& selection) const;
  base::Duration expectedWait(const std::string& service, const Worker& worker) const;
  WorkerDirectory::WorkerPtr cheapest(const std::vector<WorkerDirectory::WorkerPtr>& workers,
                                      double typicalLatency, const std::string& service,
                                      const RequestFacts& facts, base::TimePoint now);
  double cost(const Worker& worker, double typicalLatency, const registry::WorkerId* preferred,
              base::TimePoint now);

  const WorkerDirectory& directory_;
  const WorkerSelectorOptions options_;
  base::Random random_;
  const ConnectedTo connectedTo_;
  ShareView* const shares_;
  PromptAffinity affinity_;
  std::map<std::string, routing::MovingAverage> slotTimes_;  ///< Of streams, by service.
};

}  // namespace walnut::gateway
