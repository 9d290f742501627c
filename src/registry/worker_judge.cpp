#include "registry/worker_judge.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnut::registry {

namespace {

/// Weight of one attempt in the share of failures: three in a row make a worker that was well
/// failing, two one that nobody has seen answer. Well below, the stray errors of sound workers,
/// some in a hundred, would condemn several of a hundred workers each minute; well above, a rare
/// model is asked for in vain several times before its worker is known.
constexpr double kAttemptWeight = 0.25;
/// The share of a worker without any outcome: what was never seen to answer is trusted less.
constexpr double kUnknownShare = 0.2;
constexpr double kFailingShare = 0.5;
/// Beyond the share of the rest of its service.
constexpr double kExcessShare = 0.35;
/// Below this share a worker counts as well again.
constexpr double kSoundShare = 0.25;
/// Of a worker that is tried again: its next failure condemns it anew.
constexpr double kTrialShare = 0.45;
/// At most this part of a service's workers: the rest could not carry its load.
constexpr double kMostFailing = 0.5;
/// One may be what fails itself.
constexpr std::size_t kLeastAccusers = 2;
/// @name Until a failing worker is tried again
/// The first time; twice as long after each relapse, up to the longest. A trial costs an attempt or
/// two; the wait is what a worker that is well again is left without work.
/// @{
constexpr base::Duration kFirstHold = std::chrono::seconds(4);
constexpr std::uint32_t kMostDoublings = 2;
/// @}
/// Outcomes before a silence of this length say nothing of a worker any more.
constexpr base::Duration kOutcomesLast = std::chrono::seconds(30);

}  // namespace

void WorkerJudge::report(protocol::ConnectionId gateway, const WorkerOutcomes& outcomes,
                         base::TimePoint now) {
  const std::uint32_t attempts = outcomes.answered + outcomes.failed;
  if (attempts == 0) {
    return;
  }
  const auto [found, added] = records_.try_emplace(outcomes.worker);
  Record& record = found->second;
  if (added || now > record.reportedAt + kOutcomesLast) {
    record.share = kUnknownShare;
    record.accusers.clear();
  }
  record.reportedAt = now;
  const double failed = static_cast<double>(outcomes.failed) / attempts;
  const double former = std::pow(1 - kAttemptWeight, attempts);
  record.share = former * record.share + (1 - former) * failed;
  if (outcomes.failed > 0) {
    record.accusers.insert(gateway);
  }
  if (record.share < kSoundShare) {
    record.accusers.clear();
    record.relapses = record.failing ? record.relapses : 0;
  }
  unreviewed_ = unreviewed_ || record.failing || record.share >= kFailingShare;
}

bool WorkerJudge::reviewDue(base::TimePoint now) const {
  return unreviewed_ || std::any_of(records_.begin(), records_.end(), [now](const auto& entry) {
           return entry.second.failing && now >= entry.second.trialAt;
         });
}

void WorkerJudge::review(const std::map<std::string_view, std::vector<WorkerId>>& services,
                         std::size_t gateways, base::TimePoint now) {
  unreviewed_ = false;
  for (const auto& [service, workers] : services) {
    reviewService(workers, gateways, now);
  }
}

void WorkerJudge::reviewService(const std::vector<WorkerId>& workers, std::size_t gateways,
                                base::TimePoint now) {
  std::vector<std::pair<WorkerId, Record*>> sound;
  double shares = 0;
  std::size_t failing = 0;
  for (const WorkerId& worker : workers) {
    const auto found = records_.find(worker);
    if (found == records_.end()) {
      continue;
    }
    Record& record = found->second;
    if (record.failing) {
      endVerdict(worker, record, now);
    }
    if (record.failing) {
      ++failing;
    } else {
      sound.emplace_back(worker, &record);
      shares += record.share;
    }
  }
  // The worst first: without it, the next one is compared with a better rest.
  std::sort(sound.begin(), sound.end(), [](const auto& left, const auto& right) {
    return left.second->share > right.second->share;
  });
  const std::size_t accusers = std::min(kLeastAccusers, gateways);
  const double most = kMostFailing * static_cast<double>(workers.size());
  std::size_t rest = sound.size();
  for (const auto& [worker, record] : sound) {
    if (record->share < kFailingShare || static_cast<double>(failing + 1) > most) {
      return;
    }
    const double restShare =
        rest <= 1 ? 0 : (shares - record->share) / static_cast<double>(rest - 1);
    if (record->share >= restShare + kExcessShare && record->accusers.size() >= accusers) {
      condemn(worker, *record, restShare, now);
      shares -= record->share;
      --rest;
      ++failing;
    }
  }
}

void WorkerJudge::endVerdict(const WorkerId& worker, Record& record, base::TimePoint now) {
  const bool answers = record.share < kSoundShare;
  if (!answers && now < record.trialAt) {
    return;
  }
  record.failing = false;
  if (answers) {
    record.relapses = 0;
  } else {
    record.share = kTrialShare;
  }
  note(worker, record, 0, now);
}

void WorkerJudge::condemn(const WorkerId& worker, Record& record, double restShare,
                          base::TimePoint now) {
  record.failing = true;
  record.trialAt = now + kFirstHold * (1U << std::min(record.relapses, kMostDoublings));
  ++record.relapses;
  note(worker, record, restShare, now);
}

void WorkerJudge::note(const WorkerId& worker, Record& record, double restShare,
                       base::TimePoint now) {
  const bool first = record.verdictAt == base::TimePoint();
  const base::TimePoint since = std::exchange(record.verdictAt, now);
  changes_.push_back({worker, record.failing, record.share, restShare,
                      static_cast<std::uint32_t>(record.accusers.size()),
                      first ? base::Duration::zero() : now - since});
}

bool WorkerJudge::failing(const WorkerId& worker) const {
  const auto found = records_.find(worker);
  return found != records_.end() && found->second.failing;
}

}  // namespace walnut::registry
