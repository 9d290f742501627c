#include "registry/part_crash_monitor.h"

#include <algorithm>
#include <string>

#include "walnut/registry/feature_level.h"

namespace walnut::registry {

namespace {

using control::crash::kLimit;
using runtime::LogEvent;

/// Time for which a part is watched before it may be refused: gateways report meanwhile what they
/// remember of it.
constexpr base::Duration kSettlePeriod = std::chrono::seconds(1);
/// Time for which a part stays watched once there is no more evidence. It bounds the updates.
constexpr base::Duration kWatchPeriod = std::chrono::seconds(10);
/// Time after a refusal in which further evidence may show another part to be the cause.
constexpr base::Duration kReconsiderPeriod = std::chrono::seconds(30);
/// Another part has this many times the crashes of a refused one if it is taken for the cause in
/// its place: of two causes that run side by side, one may have all crashes of the other.
constexpr std::size_t kClearlyMoreCrashes = 2;
constexpr base::Duration kReviewInterval = std::chrono::milliseconds(250);
/// Time after which a lost log entry is proposed again.
constexpr base::Duration kProposalRetryInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxWatched = 64;
constexpr std::size_t kMaxRefused = 64;

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string textOf(const std::set<WorkerId>& workers) {
  std::string text;
  for (const WorkerId& worker : workers) {
    text += (text.empty() ? "" : ",") + worker.value;
  }
  return text;
}

}  // namespace

void PartCrashMonitor::addParts(const CutPartsReport& report) {
  for (const CutPromptParts& cut : report.cuts) {
    evidence_.addParts(cut);
  }
  dirty_ = dirty_ || !report.cuts.empty();
}

void PartCrashMonitor::addCut(const CutRequest& cut, base::TimePoint now) {
  evidence_.addCut(cut.worker, cut.request, cut.begun,
                   now - std::max(cut.age, base::Duration::zero()));
  dirty_ = true;
}

void PartCrashMonitor::confirm(const WorkerId& worker, base::TimePoint now) {
  dirty_ = true;
  if (!evidence_.confirm(worker)) {
    return;
  }
  for (auto& [part, refusal] : refused_) {
    if (evidence_.explains({part}, worker)) {
      if (isOnTrial(refusal, now)) {
        refusal.untilTrial = kRetention;
        changed_ = true;
      }
      refusal.since = now;
      ++refusal.crashes;
    }
  }
}

void PartCrashMonitor::deny(const WorkerId& worker) {
  evidence_.remove(worker);
  dirty_ = true;
}

void PartCrashMonitor::addAnswers(const PartsAnswered& report, base::TimePoint now) {
  for (const AnsweredPart& answer : report.parts) {
    const bool named = watches_.count(answer.part) != 0 || refused_.count(answer.part) != 0;
    const base::TimePoint at = now - std::max(answer.age, base::Duration::zero());
    if (!named) {
      continue;
    }
    if (evidence_.addAnswer(answer.part, at)) {
      log_.write(LogEvent::partAcquitted,
                 {{"part", answer.part.text()}, {"age-millis", millisOf(answer.age)}});
    }
    const auto refusal = refused_.find(answer.part);
    if (refusal != refused_.end() && at > refusal->second.since) {
      release(answer.part, "answered", now);
    }
    dirty_ = true;
  }
}

void PartCrashMonitor::review(base::TimePoint now) {
  adoptRefused(now);
  const bool idle = evidence_.empty() && watches_.empty() && refused_.empty();
  if (!dirty_ && (idle || now < reviewedAt_ + kReviewInterval)) {
    return;
  }
  dirty_ = false;
  reviewedAt_ = now;
  evidence_.removeOld(now);
  for (auto& [part, refusal] : refused_) {
    refusal.final = refusal.final || now >= refusal.refusedAt + kReconsiderPeriod;
  }
  watch(now);
  judge(now);
  reviewTrials(now);
  replicate(now);
}

/// Takes over the parts that an earlier leader has refused.
void PartCrashMonitor::adoptRefused(base::TimePoint now) {
  for (const auto& [part, crashes] : state_.refusedParts()) {
    if (released_.count(part) == 0 &&
        refused_.try_emplace(part, Refusal{now, now, kRetention, crashes, true}).second) {
      changed_ = true;
      explainedChanged_ = true;
    }
  }
}

void PartCrashMonitor::watch(base::TimePoint now) {
  for (const PartEvidence::Suspect& suspect : evidence_.suspects(false)) {
    if (suspect.events + 1 < kLimit) {
      continue;
    }
    if (watches_.size() >= kMaxWatched && watches_.count(suspect.part) == 0) {
      continue;
    }
    const auto [found, added] = watches_.try_emplace(suspect.part, Watch{now, now, std::nullopt});
    found->second.suspectAt = now;
    if (added) {
      changed_ = true;
      log_.write(LogEvent::partSuspected, {{"part", suspect.part.text()},
                                           {"standing", "watched"},
                                           {"crashes", std::uint64_t{suspect.crashes.size()}},
                                           {"requests", std::uint64_t{suspect.requests}},
                                           {"workers", textOf(suspect.crashes)}});
    }
  }
  const auto forgotten = std::erase_if(
      watches_, [now](const auto& entry) { return now > entry.second.suspectAt + kWatchPeriod; });
  changed_ = changed_ || forgotten > 0;
}

/// A part that was sound before needs the evidence for longer: it may be next to others that are
/// going to be answered.
bool PartCrashMonitor::mayBeRefused(const PartEvidence::Suspect& suspect, base::TimePoint now) {
  const auto found = watches_.find(suspect.part);
  if (found == watches_.end()) {
    return false;
  }
  Watch& watch = found->second;
  if (!suspect.isAtLimit()) {
    watch.atLimitSince.reset();
    return false;
  }
  watch.atLimitSince = watch.atLimitSince.value_or(now);
  return now >= watch.since + kSettlePeriod &&
         (!suspect.wasSoundBefore() || now >= *watch.atLimitSince + kSettlePeriod);
}

void PartCrashMonitor::judge(base::TimePoint now) {
  PartEvidence::Suspects suspects = evidence_.suspects(true);
  std::erase_if(suspects, [&](const auto& suspect) {
    const auto refusal = refused_.find(suspect.part);
    const bool known = refusal != refused_.end() && !refusal->second.final;
    return !known && !mayBeRefused(suspect, now);
  });
  const std::set<PromptPartDigest> causes =
      chooseCauses(suspects, evidence_.explainedBy(refusedParts(true)), state_.requestCrashes());
  for (const PartEvidence::Suspect& suspect : suspects) {
    if (causes.count(suspect.part) != 0) {
      refuse(suspect, now);
    }
  }
  std::size_t mostCrashes = 0;
  for (const PartEvidence::Suspect& suspect : suspects) {
    const bool isCause = causes.count(suspect.part) != 0;
    mostCrashes = std::max(mostCrashes, isCause ? suspect.crashes.size() : 0);
  }
  for (const PromptPartDigest& part : refusedParts(false)) {
    const auto suspect = std::find_if(suspects.begin(), suspects.end(),
                                      [&part](const auto& each) { return each.part == part; });
    const bool isKept = suspect != suspects.end() && suspect->isAtLimit() &&
                        !suspect->wasSoundBefore() &&
                        kClearlyMoreCrashes * suspect->crashes.size() > mostCrashes;
    if (!refused_.at(part).final && causes.count(part) == 0 && !isKept) {
      release(part, "explained", now);
    }
  }
}

void PartCrashMonitor::refuse(const PartEvidence::Suspect& suspect, base::TimePoint now) {
  const bool isNew = refused_.count(suspect.part) == 0;
  if (isNew && refused_.size() >= kMaxRefused) {
    return;
  }
  Refusal& refusal = refused_[suspect.part];
  if (!isNew) {
    return;
  }
  refusal.refusedAt = now;
  refusal.since = now;
  refusal.crashes = static_cast<std::uint32_t>(suspect.crashes.size());
  released_.erase(suspect.part);
  replicatedAt_ = {};
  changed_ = true;
  explainedChanged_ = true;
  log_.write(LogEvent::partSuspected,
             {{"part", suspect.part.text()},
              {"standing", "refused"},
              {"crashes", std::uint64_t{suspect.crashes.size()}},
              {"requests", std::uint64_t{suspect.requests}},
              {"workers", textOf(suspect.crashes)},
              {"first-millis", millisOf(now - suspect.firstCrashAt)},
              {"sound-before", std::string_view(suspect.wasSoundBefore() ? "yes" : "no")}});
}

void PartCrashMonitor::release(const PromptPartDigest& part, std::string_view reason,
                               base::TimePoint now) {
  const auto found = refused_.find(part);
  log_.write(LogEvent::partReleased, {{"part", part.text()},
                                      {"reason", reason},
                                      {"former-millis", millisOf(now - found->second.since)}});
  refused_.erase(found);
  if (state_.refusedParts().count(part) != 0) {
    released_.insert(part);
  }
  replicatedAt_ = {};
  changed_ = true;
  explainedChanged_ = true;
}

/// Proposes what differs from the replicated state.
void PartCrashMonitor::replicate(base::TimePoint now) {
  std::erase_if(released_, [this](const PromptPartDigest& part) {
    return state_.refusedParts().count(part) == 0;
  });
  const bool supported = state_.featureLevel() >= feature::kPromptParts;
  if (!supported || now < replicatedAt_ + kProposalRetryInterval) {
    return;
  }
  replicatedAt_ = now;
  for (const auto& [part, refusal] : refused_) {
    if (state_.refusedParts().count(part) == 0) {
      commands_.emplace_back(RefusePart{part, refusal.crashes});
    }
  }
  if (!released_.empty()) {
    commands_.emplace_back(ReleaseParts{{released_.begin(), released_.end()}});
  }
}

void PartCrashMonitor::reviewTrials(base::TimePoint now) {
  const bool any = std::any_of(refused_.begin(), refused_.end(),
                               [&](const auto& entry) { return isOnTrial(entry.second, now); });
  const std::size_t trial = any ? trialNumber(now) : 0;
  changed_ = changed_ || (trial != lastTrial_ && any);
  lastTrial_ = trial;
}

std::set<PromptPartDigest> PartCrashMonitor::refusedParts(bool finalOnly) const {
  std::set<PromptPartDigest> parts;
  for (const auto& [part, refusal] : refused_) {
    if (!finalOnly || refusal.final) {
      parts.insert(part);
    }
  }
  return parts;
}

bool PartCrashMonitor::explains(const WorkerId& worker) const {
  return !refused_.empty() && evidence_.explains(refusedParts(false), worker);
}

std::set<WorkerId> PartCrashMonitor::explained() const {
  return evidence_.explainedBy(refusedParts(false));
}

/// Only the leader ends a refusal: it expires at gateways long after the next list has come.
SuspectPartList PartCrashMonitor::list(base::TimePoint now, bool onTrial) const {
  SuspectPartList list;
  for (const auto& [part, refusal] : refused_) {
    const bool isTried = onTrial && isOnTrial(refusal, now);
    list.parts.push_back({part, isTried ? PartStanding::onTrial : PartStanding::refused,
                          refusal.crashes, kRetention});
  }
  for (const auto& [part, watch] : watches_) {
    if (refused_.count(part) == 0) {
      list.parts.push_back({part, PartStanding::watched, 0, kWatchPeriod + kRetention});
    }
  }
  return list;
}

}  // namespace walnut::registry
