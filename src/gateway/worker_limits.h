#pragma once
/// @file
/// The limits that workers name, as this gateway knows them, and what it may send within them.

#include <map>
#include <optional>
#include <vector>

#include "gateway/quota_account.h"
#include "gateway/worker_selector.h"
#include "registry/named_limit.h"
#include "walnut/base/random.h"
#include "walnut/registry/limit_messages.h"

namespace walnut::gateway {

/// What a gateway sends to a limited worker while no leader shares out its limit: a request each
/// period, at a phase of its own. One that is not used within `kUsableFor` is lost, so that many
/// gateways that were idle do not send together.
class UnsharedRate {
 public:
  static constexpr base::Duration kUsableFor = std::chrono::seconds(1);

  /// @param phase in 0..1, drawn.
  UnsharedRate(base::Duration period, double phase, base::TimePoint now);

  bool allows(base::TimePoint now);
  void take(base::TimePoint now);
  base::TimePoint next() const { return next_; }

 private:
  void dropUnused(base::TimePoint now);

  base::Duration period_;
  base::TimePoint next_;
};

/// The gateway's side of registry/worker_limit_book.h. A worker's limit is known from its own
/// answers, and from the leader, whose word replaces that.
///
/// Invariants: each request to a limited worker is paid for, by a share that the leader granted or
/// by the gateway's `UnsharedRate`; no limit ends by an answer to a request that was sent before an
/// answer that named it.
class WorkerLimits {
 public:
  explicit WorkerLimits(std::uint64_t seed) : random_(seed), shares_(AheadOfNeed::oneUnit) {}

  /// A limit that began, changed or ended for this gateway.
  struct Change {
    registry::WorkerId worker;
    std::optional<double> perSecond;
    std::optional<double> former;
  };

  /// @name What is known
  /// @{
  bool any() const { return !limits_.empty(); }
  std::optional<double> limitOf(const registry::WorkerId& worker) const;
  /// An answer came to a request that was sent at `sentAt`.
  /// @param perSecond absent: the answer names no limit.
  std::optional<Change> answered(const registry::WorkerId& worker,
                                 const std::optional<double>& perSecond, base::TimePoint sentAt,
                                 base::TimePoint now);
  /// The followed leader's word.
  std::optional<Change> told(const registry::WorkerId& worker,
                             const std::optional<double>& perSecond, base::TimePoint now);
  /// The followed leader knows of no limit.
  std::optional<Change> unlimited(const registry::WorkerId& worker);
  void forget(const registry::WorkerId& worker);
  template <class Predicate>
  void forgetIf(const Predicate& gone);
  /// Another leader is followed, which is told all that is known.
  void leaderFollowed();
  /// @return what the leader is to be told.
  std::optional<registry::LimitReport> takeReport(base::TimePoint now);
  /// @}

  /// @name What may be sent
  /// @{
  /// @param shared a leader shares out the limits.
  /// @param gateways that send to the worker besides, if none does.
  void setSharing(bool shared, std::uint32_t gateways);
  ShareStanding standing(const registry::WorkerId& worker, base::TimePoint now);
  /// @return until a request may be sent there, of a worker whose share is spent.
  base::Duration retryAfter(const registry::WorkerId& worker, base::TimePoint now);
  /// A request is sent to the worker, which has no limit or whose share is there.
  void take(const registry::WorkerId& worker, base::TimePoint now);
  void waitBegan(const registry::WorkerId& worker) { shares_.waitBegan(worker.value, 1); }
  void waitEnded(const registry::WorkerId& worker) { shares_.waitEnded(worker.value, 1); }
  /// @return the next question to the leader; nothing if there is none.
  std::optional<registry::ShareRequest> ask(bool all, base::TimePoint now);
  /// @return true if that was the open question.
  bool granted(const registry::ShareGrant& grant, base::TimePoint now);
  /// @}

 private:
  struct Limit {
    registry::NamedLimit named;
    base::TimePoint lastNamedAt;  ///< By an answer, or by the leader.
    bool toldByLeader = false;    ///< By the one that is followed.
    base::TimePoint endToldAt;    ///< When the leader was told of an answer without a limit.
    std::optional<UnsharedRate> unshared;  ///< While nobody shares the limit out.
  };

  std::optional<Change> named(const registry::WorkerId& worker, double perSecond,
                              base::TimePoint sentAt, base::TimePoint now);
  std::optional<Change> notNamed(const registry::WorkerId& worker, base::TimePoint sentAt,
                                 base::TimePoint now);
  std::optional<Change> erase(const registry::WorkerId& worker);
  UnsharedRate& unsharedRate(Limit& limit, base::TimePoint now);
  void noteSighting(const registry::WorkerId& worker, const std::optional<double>& perSecond,
                    base::TimePoint sentAt, base::TimePoint answeredAt);

  /// An answer that the leader has not been told of.
  struct Sighting {
    std::optional<double> perSecond;
    base::TimePoint sentAt;
    base::TimePoint answeredAt;
  };

  base::Random random_;
  std::map<registry::WorkerId, Limit> limits_;
  std::map<registry::WorkerId, Sighting> untold_;
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
