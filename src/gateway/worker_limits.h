#pragma once
/// @file
/// The rate limits that workers announce, as known at this gateway, and what it may send within
/// them.

#include <map>
#include <optional>
#include <vector>

#include "gateway/quota_account.h"
#include "gateway/worker_selector.h"
#include "registry/named_limit.h"
#include "walnut/base/random.h"
#include "walnut/registry/limit_messages.h"

namespace walnut::gateway {

/// Rate limiter for a worker whose limit no leader divides among the gateways: permits one request
/// each period, at a random phase per gateway. A permit not used within `kUsableFor` is lost, so
/// that many gateways that were idle do not send at the same time.
class UnsharedRate {
 public:
  static constexpr base::Duration kUsableFor = std::chrono::seconds(1);

  /// @param phase random, in 0..1.
  UnsharedRate(base::Duration period, double phase, base::TimePoint now);

  bool allows(base::TimePoint now);
  void take(base::TimePoint now);
  base::TimePoint next() const { return next_; }

 private:
  void dropUnused(base::TimePoint now);

  base::Duration period_;
  base::TimePoint next_;
};

/// The rate limits of workers at one gateway: the counterpart of registry/worker_limit_tracker.h. A
/// worker's limit is known from its own answers and from the leader, whose value replaces that of
/// the answers.
///
/// Invariants: each request to a limited worker is taken from a share that the leader granted or
/// from the gateway's `UnsharedRate`; no limit ends by an answer to a request that was sent before
/// an answer that announced the limit.
class WorkerLimits {
 public:
  explicit WorkerLimits(std::uint64_t seed) : random_(seed), shares_(ReservePolicy::oneUnit) {}

  /// A limit that began, changed or ended for this gateway.
  struct Change {
    registry::WorkerId worker;
    std::optional<double> perSecond;
    std::optional<double> previous;
  };

  /// @name Known limits
  /// @{
  bool any() const { return !limits_.empty(); }
  std::optional<double> limitOf(const registry::WorkerId& worker) const;
  /// Processes an answer of the worker to a request that was sent at `sentAt`.
  /// @param perSecond limit in the answer; absent if it announces none.
  std::optional<Change> responseReceived(const registry::WorkerId& worker,
                                         const std::optional<double>& perSecond,
                                         base::TimePoint sentAt, base::TimePoint now);
  /// Processes a limit announced by the followed leader; absent: the leader knows of none.
  std::optional<Change> leaderAnnounced(const registry::WorkerId& worker,
                                        const std::optional<double>& perSecond,
                                        base::TimePoint now);
  /// Ends a limit of which the followed leader knows nothing.
  std::optional<Change> unlimited(const registry::WorkerId& worker);
  void forget(const registry::WorkerId& worker);
  template <class Predicate>
  void forgetIf(const Predicate& gone);
  /// Prepares a report of all known limits for a newly followed leader.
  void leaderFollowed();
  /// @return the limits that have not been reported to the leader yet; nothing if there are none.
  std::optional<registry::LimitReport> takeReport(base::TimePoint now);
  /// @}

  /// @name Permits to send
  /// @{
  /// @param shared true if a leader divides the limits among the gateways.
  /// @param gateways number of gateways that send to a worker if no leader divides its limit.
  void setSharing(bool shared, std::uint32_t gateways);
  ShareState shareState(const registry::WorkerId& worker, base::TimePoint now);
  /// @return the time until a request may be sent, for a worker whose share is exhausted.
  base::Duration retryAfter(const registry::WorkerId& worker, base::TimePoint now);
  /// Takes the permit of a request that is sent to the worker, where `shareState` is open.
  void take(const registry::WorkerId& worker, base::TimePoint now);
  void waitBegan(const registry::WorkerId& worker) { shares_.waitBegan(worker.value, 1); }
  void waitEnded(const registry::WorkerId& worker) { shares_.waitEnded(worker.value, 1); }
  /// @return the next share request to the leader; nothing if there is none.
  std::optional<registry::ShareRequest> makeRequest(bool all, base::TimePoint now);
  /// @return true if the grant answers the open request.
  bool grantReceived(const registry::ShareGrant& grant, base::TimePoint now);
  /// @}

 private:
  struct Limit {
    registry::NamedLimit announced;
    base::TimePoint lastAnnouncedAt;       ///< In an answer, or by the leader.
    bool isFromLeader = false;             ///< By the followed leader.
    base::TimePoint endReportedAt;         ///< Last report of an answer without a limit.
    std::optional<UnsharedRate> unshared;  ///< Used without a leader.
  };

  std::optional<Change> limitAnnounced(const registry::WorkerId& worker, double perSecond,
                                       base::TimePoint sentAt, base::TimePoint now);
  std::optional<Change> limitAbsent(const registry::WorkerId& worker, base::TimePoint sentAt,
                                    base::TimePoint now);
  std::optional<Change> erase(const registry::WorkerId& worker);
  UnsharedRate& unsharedRate(Limit& limit, base::TimePoint now);
  void noteSighting(const registry::WorkerId& worker, const std::optional<double>& perSecond,
                    base::TimePoint sentAt, base::TimePoint answeredAt);

  /// A limit, or its absence, in an answer that has not been reported to the leader.
  struct Sighting {
    std::optional<double> perSecond;
    base::TimePoint sentAt;
    base::TimePoint answeredAt;
  };

  base::Random random_;
  std::map<registry::WorkerId, Limit> limits_;
  std::map<registry::WorkerId, Sighting> unreported_;
  QuotaAccount shares_;
  bool shared_ = false;
  std::uint32_t gateways_ = 1;
};

template <class Predicate>
void WorkerLimits::forgetIf(const Predicate& gone) {
  std::vector<registry::WorkerId> ended;
  for (const auto& [worker, limit] : limits_) {
    if (gone(worker)) {
      ended.push_back(worker);
    }
  }
  for (const registry::WorkerId& worker : ended) {
    forget(worker);
  }
}

}  // namespace walnut::gateway
