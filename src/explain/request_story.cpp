#include "explain/request_story.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace walnut::explain {

namespace {

/// Changes this long before the request may have led to its end: a load from the store takes some
/// seconds.
constexpr std::int64_t kMillisBefore = 10'000;
/// Clocks of other machines may be behind by so much.
constexpr std::int64_t kMillisAfter = 2000;

constexpr std::array<std::string_view, 3> kOfAll = {"role-changed", "dependency-lost",
                                                    "dependency-regained"};
constexpr std::array<std::string_view, 7> kOfModel = {
    "load-cut-short", "model-unanswered", "model-answered",   "placement-decided",
    "order-sent",     "order-cancelled",  "model-order-ended"};
constexpr std::array<std::string_view, 10> kOfWorker = {
    "worker-failing", "worker-tried", "worker-silent",   "worker-heard", "worker-forgotten",
    "breaker-opened", "request-cut",  "crash-confirmed", "crash-denied", "crash-retracted"};
constexpr std::array<std::string_view, 4> kOfDigest = {"request-cut", "request-suspected",
                                                       "request-released", "request-quarantined"};

template <class Names>
bool contains(const Names& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

void addOnce(std::vector<std::string>& names, const std::string& name) {
  if (!name.empty() && !contains(names, name)) {
    names.push_back(name);
  }
}

}  // namespace

void RequestStory::takeOwn(const LogLine& line) {
  if (line.field("request") != request_) {
    return;
  }
  begin_ = own_.empty() ? line.time : std::min(begin_, line.time);
  end_ = std::max(end_, line.time);
  addOnce(models_, line.field("model"));
  addOnce(workers_, line.field("worker"));
  digest_ = line.field("digest").empty() ? digest_ : line.field("digest");
  own_.push_back(line);
}

bool RequestStory::isOfModel(const LogLine& line) const {
  return contains(kOfModel, line.event) && contains(models_, line.field("model"));
}

bool RequestStory::isOfWorker(const LogLine& line) const {
  return contains(kOfWorker, line.event) && contains(workers_, line.field("worker"));
}

bool RequestStory::isOfDigest(const LogLine& line) const {
  const bool same = !digest_.empty() && line.field("digest") == digest_;
  return same && contains(kOfDigest, line.event) && millisBetween(end_, line.time) <= kMillisAfter;
}

bool RequestStory::within(const LogLine& line) const {
  return millisBetween(line.time, begin_) <= kMillisBefore &&
         millisBetween(end_, line.time) <= kMillisAfter;
}

void RequestStory::takeBelief(const LogLine& line) {
  if (!found() || line.field("request") == request_) {
    return;
  }
  const bool matters = contains(kOfAll, line.event) || isOfModel(line) || isOfWorker(line);
  if ((matters && within(line)) || isOfDigest(line)) {
    beliefs_.push_back(line);
  }
}

std::vector<LogLine> RequestStory::lines() const {
  std::vector<LogLine> lines = own_;
  lines.insert(lines.end(), beliefs_.begin(), beliefs_.end());
  std::stable_sort(lines.begin(), lines.end(), [](const LogLine& left, const LogLine& right) {
    return left.time < right.time;
  });
  return lines;
}

}  // namespace walnut::explain
