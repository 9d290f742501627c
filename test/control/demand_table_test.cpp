#include "control/demand_table.h"

#include <CppUTest/TestHarness.h>

#include "control/cell_fixture.h"

using namespace walnut;
using control::atSecond;
using control::DemandTable;

namespace {

constexpr base::Duration kLifetime = std::chrono::seconds(5);
const control::DemandTarget kTarget{"m", ""};

protocol::DemandReport reportOf(std::uint64_t router, std::uint64_t sequence, bool complete,
                                std::uint32_t waiting) {
  protocol::DemandReport report;
  report.router = base::RouterId{router};
  report.sequence = sequence;
  report.complete = complete;
  if (waiting > 0) {
    protocol::Demand demand;
    demand.model = kTarget.model;
    demand.waitingInteractive = waiting;
    demand.earliestDeadline = atSecond(100 + static_cast<std::int64_t>(router));
    report.entries.push_back(demand);
  }
  return report;
}

}  // namespace

TEST_GROUP(DemandTable) {
  DemandTable table{kLifetime};

  bool applyReport(std::int64_t second, const protocol::DemandReport& report) {
    table.applyReport(atSecond(second), report);
    return !table.takeChangedModels().empty();
  }
  bool expire(std::int64_t second) {
    table.expire(atSecond(second));
    return !table.takeChangedModels().empty();
  }
  std::uint32_t waiting() {
    const auto found = table.totals().find(kTarget);
    return found == table.totals().end() ? 0 : found->second.waiting();
  }
};

TEST(DemandTable, addsUpRoutersAndTakesTheEarliestDeadline) {
  CHECK_TRUE(applyReport(1, reportOf(1, 1, false, 2)));
  CHECK_TRUE(applyReport(1, reportOf(2, 1, false, 3)));
  CHECK_EQUAL(5, waiting());
  CHECK_TRUE(table.totals().at(kTarget).earliestDeadline == atSecond(101));
}

TEST(DemandTable, duplicateAndOutdatedReportsAreIgnored) {
  applyReport(1, reportOf(1, 2, false, 2));
  CHECK_FALSE(applyReport(2, reportOf(1, 2, false, 2)));
  CHECK_FALSE(applyReport(2, reportOf(1, 1, false, 9)));
  CHECK_FALSE(applyReport(2, reportOf(1, 3, false, 2)));  // Reports the same state again.
  CHECK_EQUAL(2, waiting());
}

TEST(DemandTable, aCompleteReportReplacesAllOfTheRouter) {
  applyReport(1, reportOf(1, 1, false, 2));
  applyReport(1, reportOf(2, 1, false, 1));
  // A partial report without entries changes nothing.
  CHECK_FALSE(applyReport(2, reportOf(1, 2, false, 0)));
  CHECK_EQUAL(3, waiting());
  CHECK_TRUE(applyReport(2, reportOf(1, 3, true, 0)));
  CHECK_EQUAL(1, waiting());
}

TEST(DemandTable, entriesOfAnUnresponsiveRouterExpire) {
  applyReport(1, reportOf(1, 1, false, 2));
  applyReport(4, reportOf(2, 1, false, 1));
  CHECK_TRUE(table.nextExpiry() == atSecond(6));
  CHECK_FALSE(expire(5));
  CHECK_TRUE(expire(6));
  CHECK_EQUAL(1, waiting());
}

TEST(DemandTable, aPreviousVersionIsCountedSeparatelyUntilNoStreamWaitsForIt) {
  protocol::DemandReport report = reportOf(1, 1, false, 2);
  report.entries[0].version = "v0";
  CHECK_TRUE(applyReport(1, report));
  CHECK_EQUAL(0U, table.totals().count(kTarget));
  CHECK_EQUAL(2U, table.totals().at({"m", "", "v0"}).waiting());
  report.sequence = 2;
  report.entries[0].waitingInteractive = 0;
  CHECK_TRUE(applyReport(2, report));
  CHECK_TRUE(table.totals().empty());
}
