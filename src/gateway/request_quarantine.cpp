#include "gateway/request_quarantine.h"

#include <algorithm>
#include <utility>

namespace walnut::gateway {

void RequestQuarantine::take(const registry::SuspectList& list, base::TimePoint now) {
  classifications_.clear();
  for (const registry::SuspectRequest& suspect : list.requests) {
    classifications_[suspect.request] = {suspect.standing, suspect.crashes,
                                         now + suspect.remaining};
  }
}

void RequestQuarantine::leaderFollowed(bool gotSuspects) {
  if (!gotSuspects) {
    classifications_.clear();
  }
  for (Cut& cut : cuts_) {
    cut.isReported = false;
  }
}

std::optional<RequestQuarantine::Classification> RequestQuarantine::find(
    const registry::RequestDigest& request, base::TimePoint now) const {
  const auto found = classifications_.find(request);
  if (found == classifications_.end() || now >= found->second.until) {
    return std::nullopt;
  }
  return found->second;
}

void RequestQuarantine::addCut(const registry::RequestDigest& request,
                               const std::vector<registry::PromptPartDigest>& parts,
                               const registry::WorkerId& worker, bool begun, base::TimePoint now) {
  while (!cuts_.empty() && (cuts_.size() >= kMaxCuts || now >= cuts_.front().at + kCutRetention)) {
    cuts_.pop_front();
  }
  cuts_.push_back({request, parts, worker, begun, now, false});
}

void RequestQuarantine::addAnswered(const registry::RequestDigest& request) {
  std::erase_if(cuts_, [&request](const Cut& cut) { return cut.request == request; });
  answered_.push_back(request);
}

std::optional<RequestQuarantine::Report> RequestQuarantine::takeReport(base::TimePoint now) {
  Report report;
  for (Cut& cut : cuts_) {
    if (std::exchange(cut.isReported, true) || now >= cut.at + kCutRetention) {
      continue;
    }
    report.cuts.cuts.push_back({cut.request, cut.worker, cut.begun, now - cut.at});
    if (!cut.parts.empty()) {
      report.parts.cuts.push_back({cut.request, cut.worker, cut.parts});
    }
  }
  report.cuts.answered = std::exchange(answered_, {});
  if (report.cuts.cuts.empty() && report.cuts.answered.empty()) {
    return std::nullopt;
  }
  return report;
}

}  // namespace walnut::gateway
