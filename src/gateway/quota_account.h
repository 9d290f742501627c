#pragma once
/// @file
/// What this gateway may let through of tenants' quotas and of workers' limits, as the registry's
/// leader granted it.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "registry/decaying_rate.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// What is asked for beyond the need.
enum class AheadOfNeed : std::uint8_t {
  bySpending,  ///< What is spent in some time.
  oneUnit,     ///< One, of owners that were wanted a short while ago.
};

/// The gateway's side of registry/quota_ledger.h. A request is paid from what is held; if that is
/// too little, the leader is asked for what is missing, and for some ahead if the owner's requests
/// come often here. One question is open at a time.
class QuotaAccount {
 public:
  QuotaAccount() = default;
  explicit QuotaAccount(AheadOfNeed ahead) : ahead_(ahead) {}

  /// How often the leader is asked without need: keeps what is held from ending.
  static constexpr base::Duration kInterval = std::chrono::milliseconds(500);

  /// @return true if it was paid from what is held.
  bool take(const std::string& owner, double cost, base::TimePoint now);
  /// The request did not run.
  void giveBack(const std::string& owner, double cost, base::TimePoint now);
  /// @return true if `take` would succeed.
  bool covers(const std::string& owner, double cost, base::TimePoint now) const;
  /// A request could have gone to that owner.
  void noteWanted(const std::string& owner, base::TimePoint now);
  /// @return until more can be had, as the leader said a moment ago; nothing if it may be asked.
  std::optional<base::Duration> shortFor(const std::string& owner, base::TimePoint now) const;
  void forget(const std::string& owner) { accounts_.erase(owner); }

  /// @name A request that could not be paid waits for an answer, or no longer
  /// @{
  void waitBegan(const std::string& owner, double cost);
  void waitEnded(const std::string& owner, double cost);
  /// @}

  /// @param all also of owners for which nobody waits.
  /// @return the next question; nothing while one is open, or if there is nothing to ask.
  std::optional<registry::QuotaRequest> ask(bool all, base::TimePoint now);
  /// @return true if that was the open question.
  bool granted(const registry::QuotaGrant& grant, base::TimePoint now);
  /// Nobody answers any more: the next leader is asked anew.
  void leaderLost() { open_.reset(); }
  /// @return true if no owner has had a request lately.
  bool empty() const { return accounts_.empty(); }

 private:
  struct Account {
    double held = 0;
    base::TimePoint until;     ///< When what is held ends.
    std::deque<double> needs;  ///< Of requests that wait, in their order.
    base::TimePoint shortAt;   ///< When the leader last had less than was needed.
    bool wasShort = false;
    base::TimePoint moreAt;           ///< When more can be had, as the leader last said.
    double meanCost = 0;              ///< Of a request.
    registry::DecayingRate spending;  ///< Units a second.
    base::TimePoint usedAt;
  };
  struct Question {
    std::uint64_t sequence = 0;
    base::TimePoint askedAt;
    std::vector<std::string> owners;
  };

  static bool isShort(const Account& account, base::TimePoint now);
  static void expire(Account& account, base::TimePoint now);
  /// What is held beyond the need, as it should be.
  struct Reserve {
    double wanted = 0;
    double most = 0;  ///< What is held beyond this is given back.
  };
  Reserve reserveOf(const Account& account, base::TimePoint now) const;
  registry::QuotaClaim claimOf(const std::string& owner, Account& account,
                               base::TimePoint now) const;

  AheadOfNeed ahead_ = AheadOfNeed::bySpending;

  std::map<std::string, Account> accounts_;
  std::uint64_t lastSequence_ = 0;
  std::optional<Question> open_;
};

}  // namespace walnut::gateway
