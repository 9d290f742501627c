#include "explain/loss_account.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace walnut::explain {

namespace {

/// A load that ended so long before the wait began by another machine's clock may still be meant.
constexpr std::int64_t kClockTolerance = 2000;

bool isRefusal(const std::string& status) {
  return status == "503" || status == "429" || status == "408" || status == "421";
}

bool succeeded(const std::string& status) { return !status.empty() && status.front() == '2'; }

/// @return nothing for a request that was served in time.
std::optional<LossKind> kindOf(const LogLine& ended) {
  const std::string& status = ended.field("status");
  if (!succeeded(status)) {
    return isRefusal(status) ? LossKind::refused : LossKind::failed;
  }
  const bool stream = ended.field("outcome") == "complete";
  const std::uint64_t taken = ended.number(stream ? "first" : "millis");
  const std::uint64_t target = ended.number("target");
  const std::uint64_t gap = ended.number("target-gap");
  const bool late = (target > 0 && taken > target) || (gap > 0 && ended.number("gap") > gap);
  return late ? std::optional(LossKind::late) : std::nullopt;
}

}  // namespace

std::string_view lossKindName(LossKind kind) {
  switch (kind) {
    case LossKind::refused:
      return "refused";
    case LossKind::failed:
      return "failed";
    case LossKind::late:
      return "late";
  }
  return "unknown";
}

std::string_view lossCauseName(LossCause cause) {
  switch (cause) {
    case LossCause::noDocument:
      return "no-document";
    case LossCause::workerFailed:
      return "worker-failed";
    case LossCause::modelFromStore:
      return "model-from-store";
    case LossCause::modelFromDisk:
      return "model-from-disk";
    case LossCause::modelNotLoaded:
      return "model-not-loaded";
    case LossCause::adapter:
      return "adapter";
    case LossCause::noWorker:
      return "no-worker";
    case LossCause::allFull:
      return "all-full";
    case LossCause::callerLeft:
      return "caller-left";
    case LossCause::queue:
      return "queue";
    case LossCause::pause:
      return "pause";
    case LossCause::quarantined:
      return "quarantined";
    case LossCause::unknownKey:
      return "unknown-key";
    case LossCause::unconfirmed:
      return "unconfirmed";
    case LossCause::quota:
      return "quota";
    case LossCause::modelTooLate:
      return "model-too-late";
    case LossCause::limited:
      return "limited";
  }
  return "unknown";
}

void LossAccount::take(const LogLine& line) {
  if (line.event == "lines-dropped") {
    droppedLines_ += line.number("count");
  } else if (line.event == "request-waiting" && line.field("reason") != "full") {
    Story& story = stories_[line.field("request")];
    if (story.waitedFor.empty()) {
      story.waitedFor = line.field("reason");
      story.waitBeganAt = line.time;
      story.forAdapter = !line.field("adapter").empty();
    }
  } else if (line.event == "attempt-failed") {
    Story& story = stories_[line.field("request")];
    const bool ran = line.field("executed") != "no";
    story.ranAndFailed = story.ranAndFailed || ran;
    story.saidFull = story.saidFull || !ran;
  } else if (line.event == "request-refused") {
    refused_.emplace(line.field("request"), line);
  } else if (line.event == "request-ended") {
    refused_.erase(line.field("request"));
    ended_.push_back(line);
  } else if (line.event == "model-order-ended" && line.field("operation") == "load") {
    loads_[line.field("model")].push_back({line.time, line.number("lateness-percent") > 0});
  }
}

/// Adapters come within a load of their model too, but then the model was missing first.
LossCause LossAccount::coldCause(const LogLine& ended, const Story& story) const {
  const auto loads = loads_.find(ended.field("model"));
  if (loads != loads_.end()) {
    for (const Load& load : loads->second) {
      const bool within = millisBetween(story.waitBeganAt, load.endedAt) >= -kClockTolerance &&
                          millisBetween(load.endedAt, ended.time) >= -kClockTolerance;
      if (within) {
        return load.fromStore ? LossCause::modelFromStore : LossCause::modelFromDisk;
      }
    }
  }
  return story.forAdapter ? LossCause::adapter : LossCause::modelNotLoaded;
}

LossCause LossAccount::causeOf(const LogLine& ended, LossKind kind) const {
  const bool ofExchange = ended.event == "request-ended";
  const std::string& outcome = ended.field(ofExchange ? "outcome" : "reason");
  const auto found = stories_.find(ended.field("request"));
  const Story story = found == stories_.end() ? Story{} : found->second;
  if (outcome == "stopping" || outcome == "no document is known") {
    return LossCause::noDocument;
  }
  static const std::map<std::string, LossCause, std::less<>> kByOutcome = {
      {"quarantined", LossCause::quarantined},
      {"no key", LossCause::unknownKey},
      {"unknown key", LossCause::unknownKey},
      {"keys are not confirmed", LossCause::unconfirmed},
      {"keys may be newer", LossCause::unconfirmed},
      {"quota is not confirmed", LossCause::unconfirmed},
      {"too many wait for their quota", LossCause::unconfirmed},
      {"quota", LossCause::quota},
      {"the model comes too late", LossCause::modelTooLate},
      {"limit of its workers", LossCause::limited}};
  const auto known = kByOutcome.find(outcome);
  if (known != kByOutcome.end()) {
    return known->second;
  }
  if (story.ranAndFailed || (kind == LossKind::failed && outcome == "answered")) {
    return LossCause::workerFailed;
  }
  if (story.waitedFor == "failing") {
    return LossCause::workerFailed;
  }
  if (story.waitedFor == "no-workers" || story.waitedFor == "breaker-open") {
    return LossCause::noWorker;
  }
  if (!story.waitedFor.empty() && !ended.field("model").empty()) {
    return coldCause(ended, story);
  }
  if (kind == LossKind::refused || story.saidFull) {
    return LossCause::allFull;
  }
  if (kind == LossKind::failed) {
    return LossCause::callerLeft;
  }
  const bool slowFirst =
      ended.number("target") > 0 && ended.number("first") > ended.number("target");
  const bool paused = ended.number("gap") > ended.number("target-gap");
  return paused && !slowFirst && ended.number("target-gap") > 0 ? LossCause::pause
                                                                : LossCause::queue;
}

std::vector<Loss> LossAccount::losses() const {
  std::map<std::tuple<LossKind, LossCause, std::string, std::string>, Loss> grouped;
  std::vector<const LogLine*> over;
  for (const LogLine& ended : ended_) {
    over.push_back(&ended);
  }
  for (const auto& [request, line] : refused_) {
    over.push_back(&line);
  }
  for (const LogLine* const line : over) {
    const LogLine& ended = *line;
    const std::optional<LossKind> kind = kindOf(ended);
    if (!kind) {
      continue;
    }
    const LossCause cause = causeOf(ended, *kind);
    Loss& loss = grouped[{*kind, cause, ended.field("route"), ended.field("model")}];
    if (loss.requests == 0) {
      loss = {*kind, cause, ended.field("route"),  ended.field("model"),
              0,     0,     ended.field("request")};
    }
    ++loss.requests;
    loss.waitedMillis += ended.number("waited");
  }
  std::vector<Loss> losses;
  losses.reserve(grouped.size());
  for (auto& [key, loss] : grouped) {
    losses.push_back(std::move(loss));
  }
  std::stable_sort(losses.begin(), losses.end(), [](const Loss& left, const Loss& right) {
    return left.requests > right.requests;
  });
  return losses;
}

}  // namespace walnut::explain
