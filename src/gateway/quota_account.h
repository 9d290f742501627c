#pragma once
/// @file
/// Granted shares of tenants' quotas and of workers' limits at this gateway.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "registry/decaying_rate.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// How much is requested in advance, beyond the present need.
enum class ReservePolicy : std::uint8_t {
  bySpending,  ///< The mean spending over a fixed time.
  oneUnit,     ///< One unit, for owners that were requested recently.
};

/// The units of quota that this gateway holds for each owner (a tenant or a limited worker): the
/// counterpart of registry/quota_ledger.h. The cost of a request is taken from the held units. If
/// these are too few, the missing units are requested from the leader, and some in advance if
/// requests of the owner come here often. One request to the leader is open at a time.
class QuotaAccount {
 public:
  QuotaAccount() = default;
  explicit QuotaAccount(ReservePolicy policy) : reservePolicy_(policy) {}

  /// Interval of requests to the leader without need, which renew the held units before they
  /// expire.
  static constexpr base::Duration kInterval = std::chrono::milliseconds(500);

  /// Takes the cost of a request from the held units.
  /// @return false if too few are held.
  bool take(const std::string& owner, double cost, base::TimePoint now);
  /// Returns the cost of a request that was not executed.
  void refund(const std::string& owner, double cost, base::TimePoint now);
  /// @return true if `take` would succeed.
  bool covers(const std::string& owner, double cost, base::TimePoint now) const;
  /// Records demand for an owner: a request could be sent there.
  void recordDemand(const std::string& owner, base::TimePoint now);
  /// @return the time until more units are available, as the leader answered recently; nothing if a
  /// request to the leader makes sense.
  std::optional<base::Duration> shortageLeft(const std::string& owner, base::TimePoint now) const;
  void forget(const std::string& owner) { accounts_.erase(owner); }

  /// @name Requests that wait for units from the leader
  /// @{
  void waitBegan(const std::string& owner, double cost);
  void waitEnded(const std::string& owner, double cost);
  /// @}

  /// @param all true: also for owners for which no request waits.
  /// @return the next request to the leader; nothing while one is open or if nothing is needed.
  std::optional<registry::QuotaRequest> makeRequest(bool all, base::TimePoint now);
  /// @return true if the grant answers the open request.
  bool grantReceived(const registry::QuotaGrant& grant, base::TimePoint now);
  /// Drops the open request, which will not be answered any more, so that the next leader gets one.
  void leaderLost() { openRequest_.reset(); }
  /// @return when the oldest request to the leader was sent that is unanswered, of those that were
  /// sent after the leader's last message; nothing if there is none.
  std::optional<base::TimePoint> unansweredSince(base::TimePoint heardAt) const;
  /// @return true if no owner has had a request recently.
  bool empty() const { return accounts_.empty(); }

 private:
  struct Account {
    double held = 0;
    base::TimePoint until;     ///< Expiry of the held units.
    std::deque<double> needs;  ///< Costs of waiting requests, in order of arrival.
    base::TimePoint shortAt;   ///< When the leader last granted less than needed.
    bool wasShort = false;
    base::TimePoint moreAvailableAt;  ///< When more is available, by the leader's last answer.
    double meanCost = 0;              ///< Mean cost of a request.
    registry::DecayingRate spending;  ///< In units per second.
    base::TimePoint usedAt;
  };
  struct OpenRequest {
    std::uint64_t sequence = 0;
    base::TimePoint requestedAt;
    base::TimePoint unansweredSince;  ///< When the first of the requests that it replaces was sent.
    std::vector<std::string> owners;
  };

  static bool isShort(const Account& account, base::TimePoint now);
  static void expire(Account& account, base::TimePoint now);
  /// Target and upper bound of the units held beyond the present need.
  struct Reserve {
    double target = 0;
    double maximum = 0;  ///< Units beyond this are returned to the leader.
  };
  Reserve reserveOf(const Account& account, base::TimePoint now) const;
  registry::QuotaClaim claimOf(const std::string& owner, Account& account,
                               base::TimePoint now) const;

  ReservePolicy reservePolicy_ = ReservePolicy::bySpending;

  std::map<std::string, Account> accounts_;
  std::uint64_t lastSequence_ = 0;
  std::optional<OpenRequest> openRequest_;
};

}  // namespace walnut::gateway
