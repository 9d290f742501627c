#include "gateway/stream_origins.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "walnut/registry/feature_level.h"

namespace walnut::gateway {

namespace {

constexpr const char* kMetric = "walnut_gateway_stream_origins_total";
/// Upper bound of the time that a report takes to the leader and is decided there.
constexpr base::Duration kReportDelay = std::chrono::milliseconds(50);

}  // namespace

std::string_view originStatusName(StreamOriginStatus status) {
  switch (status) {
    case StreamOriginStatus::known:
      return "known";
    case StreamOriginStatus::unknown:
      return "unknown";
    case StreamOriginStatus::noLeader:
      break;
  }
  return "no-leader";
}

registry::StreamId streamIdOf(const std::string& requestId) {
  if (requestId.empty()) {
    return 0;
  }
  return std::max<registry::StreamId>(1, XXH3_64bits(requestId.data(), requestId.size()));
}

StreamOrigins::StreamOrigins(event::Scheduler& scheduler, RegistrySession& session,
                             runtime::MetricsSink& metrics)
    : scheduler_(scheduler),
      session_(session),
      metrics_(metrics),
      nextReportAt_(scheduler.now()),
      reportTimer_(scheduler.createTimer([this] { report(); })),
      reviewTimer_(scheduler.createTimer([this] { review(); })) {}

bool StreamOrigins::canAsk() const {
  return session_.followingWith(registry::feature::kSoftwareVersions);
}

base::Duration StreamOrigins::reportInterval() const {
  return std::max(kReportInterval, kReportIntervalPerGateway * gatewayCount_);
}

void StreamOrigins::streamBegan(const std::string& requestId, const std::string& service,
                                const std::string& version) {
  const registry::StreamId stream = streamIdOf(requestId);
  const registry::StreamOrigin origin{service, version};
  if (!own_.add(stream, origin, scheduler_.now()) || !canAsk()) {
    return;  // The next leader is sent all.
  }
  addStream(unreported_, origin, stream);
  if (++unreportedCount_ >= kMaxStreamsPerReport) {
    report();
  } else {
    reportSoon();
  }
}

/// Schedules one report for all streams that begin within a report interval, or within an event
/// loop iteration after a pause.
void StreamOrigins::reportSoon() {
  if (std::exchange(reportScheduled_, true)) {
    return;
  }
  if (scheduler_.now() >= nextReportAt_) {
    scheduler_.runSoon([this] { report(); });
  } else {
    reportTimer_->enableAt(nextReportAt_);
  }
}

/// Without a leader, what is not reported yet is dropped: the next one is sent all.
void StreamOrigins::report() {
  reportScheduled_ = false;
  if (unreportedCount_ == 0) {
    return;
  }
  nextReportAt_ = scheduler_.now() + reportInterval();
  unreportedCount_ = 0;
  registry::StreamsBegan report = std::exchange(unreported_, {});
  if (canAsk()) {
    session_.send(std::move(report));
  }
}

void StreamOrigins::leaderFollowed() {
  unreported_ = {};
  unreportedCount_ = 0;
  if (!canAsk()) {
    while (!searches_.empty()) {
      finish(searches_.begin(), {StreamOriginStatus::unknown, {}});
    }
    return;
  }
  for (registry::StreamsBegan& report : own_.reports(kMaxStreamsPerReport, scheduler_.now())) {
    session_.send(std::move(report));
  }
  for (auto& [number, search] : searches_) {
    search.answeredUnknown = false;
    ask(number, search);
  }
}

std::uint64_t StreamOrigins::find(const std::string& service, const std::string& resumedRequest,
                                  Callback callback) {
  const base::TimePoint now = scheduler_.now();
  const registry::StreamId stream = streamIdOf(resumedRequest);
  if (auto origin = own_.find(stream, now)) {
    count(StreamOriginStatus::known);
    callback({StreamOriginStatus::known, std::move(*origin)});
    return 0;
  }
  if (session_.following() && !canAsk()) {
    count(StreamOriginStatus::unknown);
    callback({StreamOriginStatus::unknown, {}});
    return 0;
  }
  Search search;
  search.stream = stream;
  search.service = service;
  search.callback = std::move(callback);
  search.until = now + kOriginTimeout;
  search.settledAt = stream == 0 ? now : now + reportInterval() + kReportDelay;
  const auto added = searches_.emplace(++lastSearch_, std::move(search)).first;
  if (searches_.size() == 1) {
    reviewTimer_->enableAt(now + kReviewInterval);
  }
  ask(added->first, added->second);
  return added->first;
}

void StreamOrigins::cancel(std::uint64_t number) {
  const auto found = searches_.find(number);
  if (found != searches_.end()) {
    forgetQuestions(found->second);
    searches_.erase(found);
  }
}

/// Sends a question, if a leader is followed: otherwise the next one is asked.
void StreamOrigins::ask(std::uint64_t number, Search& search) {
  if (!canAsk()) {
    return;
  }
  const base::TimePoint now = scheduler_.now();
  if (search.questions.empty()) {
    metrics_.count(kMetric, "asked");
  }
  const std::uint64_t sequence = ++lastQuestion_;
  questions_.emplace(sequence, Question{number, now});
  search.questions.push_back(sequence);
  search.askAgainAt = now + kAskInterval;
  session_.send(registry::FindStreamOrigin{sequence, search.stream, search.service});
}

void StreamOrigins::answerReceived(const registry::StreamOriginFound& answer) {
  const auto question = questions_.find(answer.sequence);
  if (question == questions_.end()) {
    return;
  }
  const auto found = searches_.find(question->second.search);
  if (!answer.version.empty()) {
    finish(found, {StreamOriginStatus::known, {answer.service, answer.version}});
  } else if (question->second.sentAt >= found->second.settledAt) {
    finish(found, {StreamOriginStatus::unknown, {}});
  } else {
    found->second.answeredUnknown = true;
    found->second.askAgainAt = found->second.settledAt;
  }
}

void StreamOrigins::finish(Searches::iterator search, const StreamOriginResult& result) {
  const Callback callback = std::move(search->second.callback);
  forgetQuestions(search->second);
  searches_.erase(search);
  count(result.status);
  callback(result);
}

void StreamOrigins::forgetQuestions(Search& search) {
  for (const std::uint64_t sequence : search.questions) {
    questions_.erase(sequence);
  }
}

void StreamOrigins::review() {
  const base::TimePoint now = scheduler_.now();
  while (!searches_.empty() && searches_.begin()->second.until <= now) {
    const bool unknown = searches_.begin()->second.answeredUnknown;
    finish(searches_.begin(),
           {unknown ? StreamOriginStatus::unknown : StreamOriginStatus::noLeader, {}});
  }
  for (auto& [number, search] : searches_) {
    if (search.askAgainAt <= now) {
      ask(number, search);
    }
  }
  if (!searches_.empty()) {
    reviewTimer_->enableAt(now + kReviewInterval);
  }
}

void StreamOrigins::count(StreamOriginStatus status) {
  metrics_.count(kMetric, std::string(originStatusName(status)));
}

}  // namespace walnut::gateway
