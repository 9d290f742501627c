#include "simulator/late_answer_campaign.h"

#include <sstream>

#include "simulator/serving_fleet.h"

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(4);
constexpr base::Duration kTrouble = std::chrono::seconds(20);
constexpr base::Duration kRecovery = std::chrono::seconds(10);
constexpr base::Duration kAfter = std::chrono::seconds(6);
constexpr double kLeastServedAfter = 0.95;

ServingFleetOptions drawFleet(base::Random& random, std::uint64_t seed) {
  ServingFleetOptions options;
  options.seed = seed;
  options.plain = true;
  options.workers = random.uniform(1, 4);
  options.gateways = random.uniform(2, 6);
  options.requestsPerSecond = static_cast<double>(options.workers) * (6 + 14 * random.unit());
  options.unrepeatableShare = 0.4 + 0.6 * random.unit();
  options.worker.firstEventTime = std::chrono::milliseconds(30);
  options.worker.serviceTime = std::chrono::milliseconds(40);
  options.worker.strayErrors = 0.01 * random.unit();
  options.worker.repeatedAnswers = 0.01 + 0.1 * random.unit();
  options.worker.rejectionsHaveId = random.chance(0.5);
  return options;
}

}  // namespace

bool LateAnswerCampaignResult::passed() const {
  return !account.broken() && servedAfter >= kLeastServedAfter;
}

LateAnswerCampaignResult runLateAnswerCampaign(std::uint64_t seed) {
  base::Random random(seed);
  ServingFleetOptions options = drawFleet(random, seed);
  LateAnswerCampaignResult result;
  options.worker.account = &result.account;
  ServingFleet fleet(options);
  fleet.run(kCalm);
  fleet.failWorkers(base::Duration::zero(), kTrouble, options.workers, WorkerFault::filling);
  fleet.run(kTrouble);
  const double servedInTrouble = fleet.servedShare();
  fleet.run(kRecovery);
  fleet.countAnew();
  fleet.run(kAfter);
  result.servedAfter = fleet.servedShare();
  std::ostringstream text;
  text << "late answers workers=" << options.workers << " gateways=" << options.gateways
       << " requests/s=" << options.requestsPerSecond
       << " ids=" << (options.worker.rejectionsHaveId ? "yes" : "no") << " "
       << result.account.description() << " served=" << servedInTrouble
       << " after=" << result.servedAfter;
  result.description = text.str();
  return result;
}

}  // namespace walnut::simulator
