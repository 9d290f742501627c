#include "control/claim_table.h"

#include <vector>

// Must be included last: its macro for `new` breaks the headers of the library.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::control;

namespace {

constexpr base::Duration kWindow = std::chrono::seconds(600);
constexpr base::Duration kSkew = std::chrono::seconds(30);

base::TimePoint at(std::int64_t second) { return base::TimePoint(std::chrono::seconds(second)); }

ClaimKey claimOf(const char* key, const char* request, std::int64_t issuedAt) {
  return {key, {request}, at(issuedAt)};
}

}  // namespace

TEST_GROUP(ClaimTableTest) { ClaimTable table{kWindow, kSkew}; };

TEST(ClaimTableTest, outcomes) {
  struct Case {
    const char* name;
    std::int64_t now;
    ClaimKey claim;
    ClaimOutcome outcome;
  };
  // The cases run one after another on the same table.
  const std::vector<Case> cases = {
      {"first", 1000, claimOf("k", "r1", 1000), ClaimOutcome::granted},
      {"repeated by the same request", 1001, claimOf("k", "r1", 1000), ClaimOutcome::granted},
      {"another request", 1002, claimOf("k", "r2", 1000), ClaimOutcome::duplicate},
      {"at the edge of the window", 1600, claimOf("old", "r3", 1000), ClaimOutcome::granted},
      {"before the window", 1600, claimOf("older", "r4", 999), ClaimOutcome::expired},
      {"caller's clock ahead by the skew", 1600, claimOf("fast", "r5", 1630),
       ClaimOutcome::granted},
      {"caller's clock further ahead", 1600, claimOf("faster", "r6", 1631), ClaimOutcome::expired},
      {"kept for window and skew", 1630, claimOf("k", "r2", 1030), ClaimOutcome::duplicate},
      {"dropped after that", 1631, claimOf("k", "r2", 1031), ClaimOutcome::granted},
      {"a resend after the drop", 1631, claimOf("k2", "r2", 1030), ClaimOutcome::expired},
  };
  for (const Case& step : cases) {
    const ClaimOutcome outcome = table.claim(step.claim, at(step.now));
    LONGS_EQUAL_TEXT(static_cast<int>(step.outcome), static_cast<int>(outcome), step.name);
  }
}

/// A new cell that replaces a lost one does not know which claims that one granted.
TEST(ClaimTableTest, aReplacementCellGrantsNothingIssuedBeforeItsFounding) {
  table.foundedAt(at(2000));
  CHECK_TRUE(table.claim(claimOf("before", "r1", 1999), at(2001)) == ClaimOutcome::expired);
  CHECK_TRUE(table.claim(claimOf("after", "r2", 2000), at(2001)) == ClaimOutcome::granted);
}

/// Each key is issued once and resent repeatedly, with clocks that differ by up to the skew: in
/// every order only one request is granted the key.
TEST(ClaimTableTest, aKeyIsNeverGrantedToASecondRequest) {
  for (std::int64_t offset = -30; offset <= 30; offset += 10) {
    for (std::int64_t resentAfter = 0; resentAfter <= 700; ++resentAfter) {
      ClaimTable fresh(kWindow, kSkew);
      const std::int64_t issuedAt = 1000 + offset;
      CHECK_TRUE(fresh.claim(claimOf("k", "r1", issuedAt), at(1000)) == ClaimOutcome::granted);
      CHECK_FALSE(fresh.claim(claimOf("k", "r2", issuedAt), at(1000 + resentAfter)) ==
                  ClaimOutcome::granted);
    }
  }
}

TEST(ClaimTableTest, restoredClaimsExpireInTheirOrder) {
  table.claim(claimOf("b", "r1", 1000), at(1000));
  table.claim(claimOf("a", "r2", 1500), at(1500));
  ClaimTable restored(kWindow, kSkew);
  restored.restore(table.claims());
  restored.expire(at(1700));
  LONGS_EQUAL(1, restored.claims().size());
  CHECK_TRUE(restored.claims().contains("a"));
  restored.expire(at(3000));
  CHECK_TRUE(restored.claims().empty());
}
