#include "gateway/part_quarantine.h"

#include <cstring>
#include <utility>

namespace walnut::gateway {

std::size_t AnsweredParts::Hash::operator()(const registry::PromptPartDigest& part) const {
  std::size_t hash = 0;
  static_assert(sizeof(hash) <= registry::PromptPartDigest::kBytes);
  std::memcpy(&hash, part.bytes.data(), sizeof(hash));
  return hash;
}

void AnsweredParts::add(const registry::PromptPartDigest& part, base::TimePoint now) {
  if (recent_.size() >= kMinParts || now >= recentSince_ + kRetention) {
    former_ = std::exchange(recent_, {});
    recentSince_ = now;
  }
  recent_[part] = now;
}

std::optional<base::TimePoint> AnsweredParts::find(const registry::PromptPartDigest& part) const {
  for (const Times* times : {&recent_, &former_}) {
    const auto found = times->find(part);
    if (found != times->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

void PartQuarantine::take(const registry::SuspectPartList& list, base::TimePoint now) {
  const auto former = std::exchange(suspects_, {});
  for (const registry::SuspectPart& part : list.parts) {
    Suspect suspect{part.standing, part.crashes, now + part.remaining, std::nullopt, std::nullopt};
    const auto known = former.find(part.part);
    if (known != former.end()) {
      suspect.reported = known->second.reported;
      const bool sameTrial = part.standing == registry::PartStanding::onTrial &&
                             known->second.standing == part.standing && now < known->second.until;
      if (sameTrial) {
        suspect.triedBy = known->second.triedBy;
        suspect.until = known->second.until;
      }
    }
    suspects_.emplace(part.part, suspect);
  }
}

void PartQuarantine::leaderFollowed(bool gotList) {
  if (!gotList) {
    suspects_.clear();
  }
  for (auto& [part, suspect] : suspects_) {
    suspect.reported.reset();
  }
}

std::optional<PartQuarantine::Refusal> PartQuarantine::find(
    const std::vector<registry::PromptPartDigest>& parts, std::uint64_t request, bool mayBeTried,
    base::TimePoint now) {
  for (const registry::PromptPartDigest& part : parts) {
    const auto found = suspects_.find(part);
    if (found == suspects_.end() || now >= found->second.until) {
      continue;
    }
    Suspect& suspect = found->second;
    if (suspect.standing == registry::PartStanding::watched) {
      continue;
    }
    if (suspect.standing == registry::PartStanding::onTrial && !suspect.triedBy && mayBeTried) {
      suspect.triedBy = request;
    }
    if (suspect.triedBy != request || !mayBeTried) {
      return Refusal{part, suspect.crashes, suspect.until};
    }
  }
  return std::nullopt;
}

bool PartQuarantine::addAnswered(const std::vector<registry::PromptPartDigest>& parts,
                                 base::TimePoint now) {
  bool isNew = false;
  for (const registry::PromptPartDigest& part : parts) {
    answered_.add(part, now);
    const auto found = suspects_.find(part);
    isNew = isNew || (found != suspects_.end() && !found->second.reported);
  }
  return isNew;
}

std::optional<registry::PartsAnswered> PartQuarantine::takeReport(base::TimePoint now) {
  registry::PartsAnswered report;
  for (auto& [part, suspect] : suspects_) {
    const auto answeredAt = answered_.find(part);
    if (answeredAt && suspect.reported != answeredAt) {
      suspect.reported = answeredAt;
      report.parts.push_back({part, now - *answeredAt});
    }
  }
  if (report.parts.empty()) {
    return std::nullopt;
  }
  return report;
}

}  // namespace walnut::gateway
