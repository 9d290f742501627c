/// @file
/// The part of an exchange that keeps a stream at the software version that began it.

#include <algorithm>
#include <utility>

#include "gateway/exchange.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kUnavailable = 503;
/// Retry-After value while no leader can tell where a stream began.
constexpr base::Duration kRetryAfterNoLeader = std::chrono::milliseconds(500);
/// Time until a stream checks again whether the version of its worker is certain.
constexpr base::Duration kRecordCheckInterval = std::chrono::milliseconds(100);

}  // namespace

/// Finds out where a stream began that the caller takes up. No worker is chosen before.
void Exchange::findOrigin() {
  originSearch_ = context_.streamOrigins().find(
      service_, facts_.resumedRequest,
      [this](const StreamOriginResult& result) { originFound(result); });
}

void Exchange::originFound(const StreamOriginResult& result) {
  originSearch_ = 0;
  const registry::StreamOrigin& origin = result.origin;
  const bool served = std::any_of(
      route_.services.begin(), route_.services.end(),
      [&origin](const catalog::WeightedService& part) { return part.service == origin.service; });
  const bool isKnown = result.status == StreamOriginStatus::known && served;
  context_.log().write(
      LogEvent::streamTakenUp,
      {{"request", facts_.requestId},
       {"stream", facts_.resumedRequest},
       {"after", facts_.resumeAfter},
       {"origin", originStatusName(result.status)},
       {"service", origin.service},
       {"version", origin.version},
       {"outcome", isKnown ? std::string_view("goes-on") : "refused"},
       {"millis",
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now() - arrivedAt_).count())}});
  if (!isKnown) {
    const bool mayBeKnownSoon = result.status == StreamOriginStatus::noLeader;
    refuse(kUnavailable, "where the stream began is not known",
           mayBeKnownSoon ? kRetryAfterNoLeader : base::Duration::zero());
    return;
  }
  service_ = origin.service;
  software_ = StreamSoftware{origin.version, {}};
  choose();
}

/// Records where the stream began, at its first event. If the worker may have restarted since its
/// record came, it is not known which version wrote that event: the stream can go on at this
/// incarnation only.
void Exchange::recordOrigin() {
  if (software_) {
    return;  // It began with an earlier request.
  }
  const registry::WorkerRecord& worker = worker_->view.record;
  if (!wasRecordCurrent_) {
    software_ = StreamSoftware{{}, worker.id};
    return;
  }
  software_ = StreamSoftware{worker.softwareVersion, worker.id};
  context_.streamOrigins().streamBegan(facts_.requestId, service_, worker.softwareVersion);
}

/// @return the choice among the workers. A stream that keeps to a version prefers workers whose
/// version is certain.
Selection Exchange::selectWorker() const {
  WorkerFilter accepted = filter();
  Selection selection = context_.selector().select(service_, facts_, accepted, now());
  if (!software_) {
    return selection;
  }
  const Selection first = selection;
  while (selection.worker != nullptr && !context_.isRecordCurrent(*selection.worker)) {
    accepted.excluded.insert(selection.worker->view.record.id);
    selection = context_.selector().select(service_, facts_, accepted, now());
  }
  return selection.worker == nullptr ? first : selection;
}

/// Delays a stream that keeps to a version while the version of the selected worker is not certain.
/// @return true if the stream waits for a newer view.
bool Exchange::waitsForCurrentRecord(const Selection& selection) {
  const Worker* const worker =
      selection.worker != nullptr ? selection.worker.get() : selection.lastResort.get();
  if (!software_ || worker == nullptr || context_.isRecordCurrent(*worker)) {
    return false;
  }
  retryTimer_->enableAt(now() + kRecordCheckInterval);
  return true;
}

WorkerFilter Exchange::filter() const {
  return {excluded_, mayUseNewWorker() ? std::set<registry::WorkerId>() : leftWorkers_, software_};
}

/// @return true if the stream can't go on: no worker has the software that began it.
bool Exchange::hasNoWorkerOfVersion(const Selection& selection) const {
  return software_ && selection.reason == NoWorkerReason::noWorkers;
}

}  // namespace walnut::gateway
