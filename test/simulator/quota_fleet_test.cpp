/// Quotas over many gateways: what all of them let through in any window, and what is refused
/// though it was within the quota. Pattern: one tenant that sends several times its usual, tenants
/// of which a gateway sees a request a minute, gateways that restart or are cut off, leaders that
/// change.

#include <algorithm>
#include <deque>

#include "gateway/quota_account.h"
#include "registry/quota_ledger.h"
#include "simulator/scheduler.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kLink = 2ms;
constexpr base::Duration kWindow = 8s;
constexpr double kOvershoot = 0.1;
constexpr double kSlack = 11000;
constexpr double kMeanCost = 1600;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

struct FleetOptions {
  std::uint64_t seed = 1;
  std::size_t gateways = 87;
  std::size_t used = 87;         ///< Gateways that get requests.
  double rate = 20000;           ///< Of the quota, in tokens a second.
  double demand = 11000;         ///< Tokens a second that are sent.
  double hot = 1;                ///< Times as many from the fourth second to the tenth.
  base::Duration leaderless{0};  ///< At six seconds another server leads, after so long.
  std::size_t restarted = 0;     ///< Gateways that restart at five seconds.
  std::size_t cut = 0;           ///< Gateways that are cut off from five seconds on.
  bool fixedShares = false;      ///< The other way: each gateway has its share of the rate.
  bool unlimited = false;        ///< Nobody asks, to show that the check sees it.
};

/// What was sent, and what was let through, in the order of time.
struct Sent {
  base::TimePoint at;
  double cost = 0;
  bool passed = false;
  bool within = false;  ///< A single bucket over all gateways would have let it through.
};

/// Gateways that ask one leader over links with a delay.
class QuotaFleet {
 public:
  explicit QuotaFleet(const FleetOptions& options) : options_(options), scheduler_(options.seed) {
    tenant_.name = "t";
    tenant_.unitsPerSecond = options.rate;
    tenant_.burst = options.rate;
    tenant_.countsTokens = true;
    begin_ = scheduler_.now();
    gateways_.resize(options.gateways);
    shares_.resize(options.gateways, options.rate / static_cast<double>(options.gateways));
    lead();
  }

  void run(base::Duration duration) {
    for (std::size_t gateway = 0; gateway < options_.used; ++gateway) {
      arrive(gateway);
    }
    for (std::size_t gateway = 0; gateway < options_.gateways; ++gateway) {
      refresh(gateway);
    }
    if (options_.leaderless > 0ms) {
      scheduler_.after(6s, [this] { leader_.reset(); });
      scheduler_.after(6s + options_.leaderless, [this] { lead(); });
    }
    scheduler_.after(5s, [this] {
      for (std::size_t gateway = 0; gateway < options_.restarted; ++gateway) {
        gateways_[gateway] = {};
        ++lives_;
      }
      cut_ = options_.cut;
    });
    scheduler_.runUntil(begin_ + duration);
  }

  /// @return the most that was let through in a window, as a share of what is allowed.
  double mostOfAllowed() const {
    const double allowed =
        (options_.rate * seconds(kWindow) + options_.rate) * (1 + kOvershoot) + kSlack;
    double most = 0;
    double sum = 0;
    std::deque<const Sent*> window;
    for (const Sent& sent : sent_) {
      if (!sent.passed) {
        continue;
      }
      window.push_back(&sent);
      sum += sent.cost;
      while (window.front()->at <= sent.at - kWindow) {
        sum -= window.front()->cost;
        window.pop_front();
      }
      most = std::max(most, sum);
    }
    return most / allowed;
  }
  /// Under overload two judges that let equally much through choose other requests of it: what
  /// counts is how much.
  /// @return by how much less was let through than was within the quota, as a share of that.
  double wronglyRefused() const {
    double within = 0;
    double passed = 0;
    for (const Sent& sent : sent_) {
      within += sent.within ? sent.cost : 0;
      passed += sent.passed ? sent.cost : 0;
    }
    return std::max(0.0, within - passed) / std::max(within, 1.0);
  }
  std::uint64_t questions() const { return questions_; }

 private:
  struct Gateway {
    gateway::QuotaAccount account;
    std::deque<std::pair<std::size_t, double>> waiting;  ///< Index into sent_, cost.
    std::size_t asked = 0;                               ///< Of those, that are in the question.
  };

  void lead() {
    leader_ = std::make_unique<QuotaLedger>(QuotaOptions{kWindow, kOvershoot, kSlack});
    leader_->setTenants({tenant_}, scheduler_.now());
    ++term_;
    for (std::size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
      gateways_[gateway].account.leaderLost();
      ask(gateway, true);
    }
  }
  double demandNow() const {
    const base::Duration at = scheduler_.now() - begin_;
    return options_.demand * (at >= 4s && at < 10s ? options_.hot : 1);
  }
  void arrive(std::size_t gateway) {
    const double perSecond = demandNow() / kMeanCost / static_cast<double>(options_.used);
    const double pause = -std::log(1 - scheduler_.random().unit()) / perSecond;
    scheduler_.after(std::chrono::duration_cast<base::Duration>(
                         std::chrono::duration<double>(std::min(pause, 5.0))),
                     [this, gateway, skip = pause > 5.0] {
                       if (!skip) {
                         request(gateway);
                       }
                       arrive(gateway);
                     });
  }
  void request(std::size_t gateway) {
    const double cost = kMeanCost * (0.4 + 1.2 * scheduler_.random().unit());
    Sent sent{scheduler_.now(), cost, false, false};
    judge(sent);
    if (options_.fixedShares) {
      sent.passed = takeShare(gateway, cost);
      sent_.push_back(sent);
      return;
    }
    sent.passed =
        options_.unlimited || gateways_[gateway].account.take("t", cost, scheduler_.now());
    sent_.push_back(sent);
    if (!sent.passed) {
      gateways_[gateway].account.waitBegan("t", cost);
      gateways_[gateway].waiting.emplace_back(sent_.size() - 1, cost);
      ask(gateway, false);
    }
  }
  /// The measure: one bucket of the declared rate and burst.
  void judge(Sent& sent) {
    level_ = std::min(options_.rate, level_ + options_.rate * seconds(sent.at - judgedAt_));
    judgedAt_ = sent.at;
    sent.within = level_ >= sent.cost;
    level_ -= sent.within ? sent.cost : 0;
  }
  /// Each gateway has a bucket of its own, which holds at least one request.
  bool takeShare(std::size_t gateway, double cost) {
    const double share = options_.rate / static_cast<double>(options_.gateways);
    const double most = share + kSlack / static_cast<double>(options_.gateways);
    double& level = shares_[gateway];
    auto& at = shareAt_[gateway];
    level = std::min(most, level + share * seconds(scheduler_.now() - at));
    at = scheduler_.now();
    const bool taken = level >= cost;
    level -= taken ? cost : 0;
    return taken;
  }
  void refresh(std::size_t gateway) {
    ask(gateway, true);
    scheduler_.after(gateway::QuotaAccount::kInterval, [this, gateway] { refresh(gateway); });
  }
  void ask(std::size_t gateway, bool all) {
    if (leader_ == nullptr || gateway < cut_) {
      return;
    }
    auto question = gateways_[gateway].account.makeRequest(all, scheduler_.now());
    if (!question) {
      return;
    }
    ++questions_;
    gateways_[gateway].asked = gateways_[gateway].waiting.size();
    scheduler_.after(kLink, [this, gateway, question = *question, term = term_, life = lives_] {
      if (leader_ == nullptr || term != term_) {
        return;
      }
      const QuotaGrant grant =
          leader_->grant({gateway + 1 + life * 1000}, question, scheduler_.now());
      scheduler_.after(kLink, [this, gateway, grant, life] {
        if (life == lives_) {
          granted(gateway, grant);
        }
      });
    });
  }
  void granted(std::size_t index, const QuotaGrant& grant) {
    Gateway& gateway = gateways_[index];
    if (!gateway.account.grantReceived(grant, scheduler_.now())) {
      return;
    }
    const std::size_t asked = std::min(gateway.asked, gateway.waiting.size());
    for (std::size_t count = 0; count < asked; ++count) {
      const auto [sent, cost] = gateway.waiting.front();
      gateway.waiting.pop_front();
      gateway.account.waitEnded("t", cost);
      sent_[sent].passed = gateway.account.take("t", cost, scheduler_.now());
    }
    ask(index, false);
  }

  const FleetOptions options_;
  simulator::Scheduler scheduler_;
  catalog::Tenant tenant_;
  base::TimePoint begin_;
  std::unique_ptr<QuotaLedger> leader_;
  std::uint64_t term_ = 0;
  std::uint64_t lives_ = 0;
  std::size_t cut_ = 0;
  std::vector<Gateway> gateways_;
  std::vector<double> shares_;
  std::map<std::size_t, base::TimePoint> shareAt_;
  std::vector<Sent> sent_;
  std::uint64_t questions_ = 0;
  double level_ = 0;
  base::TimePoint judgedAt_;
};

constexpr std::uint64_t kSeeds = 6;
constexpr base::Duration kRun = 30s;

}  // namespace

TEST_GROUP(QuotaLedgerTest) {
  FleetOptions options;

  /// @param mostRefused of what was within the quota.
  void check(double mostRefused) {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      QuotaFleet fleet(options);
      fleet.run(kRun);
      CHECK(fleet.mostOfAllowed() <= 1);
      CHECK(fleet.wronglyRefused() <= mostRefused);
    }
  }
};

TEST(QuotaLedgerTest, aTenantBelowItsQuotaIsNotRefused) { check(0.005); }

TEST(QuotaLedgerTest, aTenantThatSendsManyTimesItsUsualIsHeldToItsQuota) {
  options.hot = 7.5;
  check(0.02);
}

TEST(QuotaLedgerTest, aLargeTenantIsHeldToItsQuota) {
  options.rate = 176000;
  options.demand = 98000;
  options.hot = 6;
  check(0.02);
}

TEST(QuotaLedgerTest, aTenantThatIsAtTwoGatewaysOnlyHasItsWholeQuota) {
  options.used = 2;
  options.hot = 2;
  check(0.02);
}

/// Of a tenant this small a gateway sees a request in two minutes.
TEST(QuotaLedgerTest, aSmallTenantHasItsWholeQuota) {
  options.rate = 2700;
  options.demand = 1000;
  check(0.02);
  options.hot = 7.5;
  check(0.05);
}

TEST(QuotaLedgerTest, aChangeOfLeaderBreaksNoQuota) {
  options.hot = 7.5;
  options.leaderless = 1200ms;
  check(0.2);
}

TEST(QuotaLedgerTest, gatewaysThatRestartBreakNoQuota) {
  options.hot = 7.5;
  options.restarted = 40;
  check(0.1);
}

/// What they hold ends with its lease, and is nobody else's until then.
TEST(QuotaLedgerTest, gatewaysThatAreCutOffBreakNoQuota) {
  options.hot = 7.5;
  options.cut = 30;
  check(0.6);
}

TEST(QuotaLedgerTest, fourHundredGatewaysShareAQuota) {
  options.gateways = 400;
  options.used = 400;
  options.hot = 7.5;
  check(0.03);
}

/// The other way that was weighed: it refuses most of what is within the quota, as a gateway's
/// share is less than one request.
TEST(QuotaLedgerTest, fixedSharesRefuseWhatIsWithinTheQuota) {
  options.fixedShares = true;
  QuotaFleet fleet(options);
  fleet.run(kRun);
  CHECK(fleet.wronglyRefused() > 0.2);
}

TEST(QuotaLedgerTest, gatewaysThatAskNobodyAreSeenToBreakTheQuota) {
  options.hot = 7.5;
  options.unlimited = true;
  QuotaFleet fleet(options);
  fleet.run(kRun);
  CHECK(fleet.mostOfAllowed() > 1);
}

TEST(QuotaLedgerTest, aLowerQuotaBindsAtOnce) {
  QuotaLedger ledger({kWindow, kOvershoot, kSlack});
  catalog::Tenant tenant;
  tenant.name = "t";
  tenant.unitsPerSecond = 100000;
  tenant.burst = 100000;
  base::TimePoint now(100s);
  ledger.setTenants({tenant}, now);
  now += 10s;
  const QuotaGrant first = ledger.grant({1}, {1, {{"t", 0, 50000, 50000, 0, 0}}}, now);
  DOUBLES_EQUAL(50000, first.shares.at(0).granted, 1);
  tenant.unitsPerSecond = 1000;
  tenant.burst = 1000;
  ledger.setTenants({tenant}, now);
  const QuotaGrant second = ledger.grant({2}, {1, {{"t", 0, 50000, 50000, 0, 0}}}, now);
  CHECK(second.shares.at(0).granted < 10000);
  CHECK(second.shares.at(0).retryAfter > 1s);
}

TEST(QuotaLedgerTest, whatIsHeldCountsAgainstTheCapacity) {
  QuotaLedger ledger({kWindow, 0, 0});
  catalog::Tenant tenant;
  tenant.name = "t";
  tenant.unitsPerSecond = 1000;
  tenant.burst = 1000;
  base::TimePoint now(100s);
  ledger.setTenants({tenant}, now);
  now += 10s;
  DOUBLES_EQUAL(1000,
                ledger.grant({1}, {1, {{"t", 0, 1000, 1000, 0, 0}}}, now).shares.at(0).granted, 1);
  now += 2s;
  DOUBLES_EQUAL(0, ledger.grant({2}, {1, {{"t", 0, 1000, 1000, 0, 0}}}, now).shares.at(0).granted,
                1);
  now += 1s;
  // The lease of what the first one holds has ended.
  CHECK(ledger.grant({2}, {2, {{"t", 0, 1000, 1000, 0, 0}}}, now).shares.at(0).granted > 300);
}

TEST(QuotaLedgerTest, aTenantWithoutALimitIsGrantedAll) {
  QuotaLedger ledger({kWindow, 0, 0});
  DOUBLES_EQUAL(
      7, ledger.grant({1}, {1, {{"t", 0, 7, 7, 0, 0}}}, base::TimePoint(1s)).shares.at(0).granted,
      0.1);
}

/// Callers that were refused together are not sent back together.
TEST(QuotaLedgerTest, refusedCallersAreToldToComeBackInTurn) {
  QuotaLedger ledger({kWindow, 0, 0});
  catalog::Tenant tenant;
  tenant.name = "t";
  tenant.unitsPerSecond = 1000;
  tenant.burst = 1000;
  const base::TimePoint now(100s);
  ledger.setTenants({tenant}, now);
  base::Duration former{0};
  for (std::uint64_t gateway = 1; gateway <= 5; ++gateway) {
    const QuotaGrant grant = ledger.grant({gateway}, {1, {{"t", 0, 500, 500, 0, 0}}}, now);
    CHECK(grant.shares.at(0).retryAfter >= former + 400ms);
    former = grant.shares.at(0).retryAfter;
  }
}
