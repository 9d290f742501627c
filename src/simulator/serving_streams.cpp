/// @file
/// The part of a serving fleet in which sound workers are silent for a while within streams, and
/// the document changes.

#include <algorithm>
#include <sstream>

#include "simulator/serving_caller.h"
#include "simulator/serving_document.h"

namespace walnut::simulator {

namespace {

/// After its deadline a request has its answer within this time.
constexpr base::Duration kAnswerMargin = std::chrono::seconds(1);

}  // namespace

void ServingFleet::silenceWorkers(base::Duration begin, base::Duration duration,
                                  std::size_t count) {
  scheduler_.after(begin, [this, duration, count] {
    std::vector<ServingWorker*> sound;
    for (const auto& worker : workers_) {
      if (worker->fault() == WorkerFault::none && !worker->crashed()) {
        sound.push_back(worker.get());
      }
    }
    for (std::size_t drawn = 0; drawn < count && !sound.empty(); ++drawn) {
      const std::size_t place = scheduler_.random().uniform(0, sound.size() - 1);
      sound[place]->silence(duration);
      sound.erase(sound.begin() + static_cast<std::ptrdiff_t>(place));
    }
  });
}

void ServingFleet::changeDocument() {
  ++documentVersion_;
  state_.apply(registry::StoreDocument{documentVersion_, std::to_string(documentVersion_)});
  if (leader_ != nullptr) {
    leader_->stateChanged(scheduler_.now());
  }
}

/// Callers leave a stream of several events after a gap, as they leave one that does not begin.
void ServingFleet::received(Caller& caller) {
  noteStreamError(caller);
  noteVersions(caller);
  noteSoundBegan(caller);
  caller.firstId = caller.firstId.empty() ? caller.id : caller.firstId;
  if (options_.worker.events == 1) {
    return;
  }
  caller.lastEventAt = scheduler_.now();
  scheduler_.after(kGivesUpAfter, [this, &caller, at = caller.lastEventAt] {
    if (caller.lastEventAt == at && !caller.answered) {
      leave(caller);
    }
  });
}

void ServingFleet::streamCompleted(Caller& caller) {
  noteStreamError(caller);
  if (caller.stream.lastId() != options_.worker.events && streamError_.empty()) {
    streamError_ = caller.id + " is complete after " + std::to_string(caller.stream.lastId());
  }
}

void ServingFleet::noteStreamError(const Caller& caller) {
  if (streamError_.empty() && !caller.stream.error().empty()) {
    streamError_ = caller.id + " " + caller.stream.error();
  }
}

void ServingFleet::noteFault(const ServingCall& call, const ServingWorker& worker) {
  if (worker.fault() != WorkerFault::none && worker.fault() != WorkerFault::full) {
    streams_.broken(requestId(call));
  }
}

/// Notes that the worker's end breaks all that it runs.
void ServingFleet::noteBroken(const ServingWorker& worker) {
  for (const auto& call : worker.running()) {
    streams_.broken(requestId(*call));
  }
}

void ServingFleet::noteEndedByGateway(std::initializer_list<runtime::EventField> fields) {
  std::string request;
  for (const runtime::EventField& field : fields) {
    request = field.key == "request" ? field.value : request;
  }
  endedByGateway_ += "\n  ended " + request + decisions_[bodies_[request]];
}

std::size_t ServingFleet::unanswered() const {
  return static_cast<std::size_t>(
      std::count_if(callers_.begin(), callers_.end(), [this](const auto& caller) {
        return !caller->over && !caller->answered && !caller->crashing &&
               scheduler_.now() > caller->sentAt + kCallerDeadline + kAnswerMargin;
      }));
}

}  // namespace walnut::simulator
