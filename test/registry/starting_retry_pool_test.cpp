/// Tests of the retries that the leader grants to new gateway processes.

#include "registry/starting_retry_pool.h"

#include <cmath>
#include <vector>

#include "registry/leader_duties_fixture.h"
#include "walnut/base/random.h"
#include "walnut/registry/feature_level.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

namespace {

constexpr double kSlack = 52;
constexpr consensus::Term kFirst = 2;  ///< Of the first leader of a cell.
constexpr double kPool = kSlack * kStartingRetriesFraction;

}  // namespace

TEST_GROUP(StartingRetryPoolTest) { const base::TimePoint start = base::TimePoint(100s); };

TEST(StartingRetryPoolTest, processesThatStartTogetherEachGetSome) {
  constexpr std::size_t kGateways = 6;
  StartingRetryPool pool(start);
  for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
    CHECK_TRUE(pool.grant(kSlack, kGateways, start) > 0);
  }
}

TEST(StartingRetryPoolTest, noSpanHasMoreThanThePool) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    base::Random random(seed);
    StartingRetryPool pool(start);
    struct Grant {
      base::TimePoint at;
      std::uint32_t retries;
    };
    std::vector<Grant> grants;
    base::TimePoint now = start;
    while (now < start + 200s) {
      now += random.between(1ms, 3s);
      grants.push_back({now, pool.grant(kSlack, random.uniform(0, 20), now)});
      std::uint64_t sum = 0;
      for (const Grant& grant : grants) {
        sum += now - grant.at < StartingRetryPool::kHold ? grant.retries : 0;
      }
      CHECK_TRUE(static_cast<double>(sum) <= kPool);
    }
    CHECK_TRUE(pool.grant(kSlack, 1, now + StartingRetryPool::kHold) > 0);
  }
}

TEST(StartingRetryPoolTest, aSlackThatIsNoNumberOfRetriesGetsNone) {
  StartingRetryPool pool(start);
  for (const double slack : {0.0, -1.0, std::nan(""), HUGE_VAL, 1.0}) {
    CHECK_EQUAL(0, pool.grant(slack, 1, start));
  }
}

TEST_GROUP_BASE(StartingRetriesTest, LeaderDutiesFixture){void leadIn(consensus::Term term){
    duties = std::make_unique<LeaderDuties>(options, documents, state, term, kSelf, log, now,
                                            turns);
}
std::uint32_t granted(protocol::ConnectionId gateway,
                      std::uint32_t level = feature::kStartingRetries) {
  duties->subscribe(gateway, {}, {}, level);
  duties->startingRetriesRequested(gateway, {kSlack}, now);
  const std::vector<RegistryAction> taken = duties->takeActions();
  const auto& sent = std::get<control::SendToConnection>(taken.back());
  CHECK_EQUAL(gateway.value, sent.connection.value);
  return std::get<StartingRetries>(std::get<RegistryMessage>(sent.message).body).retries;
}
}
;

TEST(StartingRetriesTest, theFirstLeaderOfACellGrantsAtOnce) {
  leadIn(kFirst);
  CHECK_TRUE(granted(kGateway) > 0);
  CHECK_EQUAL(1, std::count(log.lines.begin(), log.lines.end(), runtime::LogEvent::retriesGranted));
}

TEST(StartingRetriesTest, aLaterLeaderGrantsNothingUntilEarlierGrantsAreOver) {
  leadIn(kFirst + 1);
  CHECK_EQUAL(0, granted(kGateway));
  now += StartingRetryPool::kHold - 1ms;
  CHECK_EQUAL(0, granted(kGateway));
  now += 1ms;
  CHECK_TRUE(granted(kGateway) > 0);
}

TEST(StartingRetriesTest, besideOlderGatewaysNothingIsGranted) {
  constexpr protocol::ConnectionId kOlder{2};
  leadIn(kFirst);
  duties->subscribe(kOlder, {}, {}, feature::kModelForecasts);
  CHECK_EQUAL(0, granted(kGateway));
  duties->unsubscribe(kOlder);
  CHECK_EQUAL(0, granted(kGateway));
  now += StartingRetryPool::kHold;
  CHECK_TRUE(granted(kGateway) > 0);
}
