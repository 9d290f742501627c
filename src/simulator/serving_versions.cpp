/// @file
/// The part of a serving fleet in which workers of several software versions serve side by side,
/// and streams break and are taken up by their callers.

#include <algorithm>
#include <utility>

#include "simulator/serving_caller.h"
#include "simulator/serving_document.h"

namespace walnut::simulator {

namespace {

/// A worker that leaves takes requests for this long: gateways learn of it.
constexpr base::Duration kLeastLeaving = std::chrono::seconds(1);
constexpr base::Duration kLeavingCheck = std::chrono::milliseconds(100);
/// Until a worker that was crashed is back.
constexpr base::Duration kWorkerDown = std::chrono::milliseconds(1500);
/// From when a worker that restarted in place takes requests to its first heartbeat.
constexpr base::Duration kLongestUnregistered = std::chrono::milliseconds(200);
constexpr std::size_t kLeastWorkersOfVersion = 2;

}  // namespace

std::vector<std::size_t> ServingFleet::drawServing(std::size_t count) {
  std::vector<std::size_t> serving;
  for (std::size_t index = 0; index < workers_.size(); ++index) {
    if (!workers_[index]->crashed() && !workers_[index]->record().leaving) {
      serving.push_back(index);
    }
  }
  std::vector<std::size_t> drawn;
  while (drawn.size() < count && !serving.empty()) {
    const std::size_t place = scheduler_.random().uniform(0, serving.size() - 1);
    drawn.push_back(serving[place]);
    serving.erase(serving.begin() + static_cast<std::ptrdiff_t>(place));
  }
  return drawn;
}

void ServingFleet::releaseVersion(base::Duration begin, base::Duration pause,
                                  const std::string& version) {
  scheduler_.after(begin, [this, pause, version] {
    base::Duration delay{0};
    for (const std::size_t index : drawServing(options_.workers / 2)) {
      scheduler_.after(delay, [this, index, version] { replaceWorker(index, version); });
      delay += pause;
    }
  });
}

/// The new worker begins empty on the same machine. The old one ends once it has nothing to do.
void ServingFleet::replaceWorker(std::size_t index, const std::string& version) {
  if (workers_[index]->crashed()) {
    return;
  }
  registry::WorkerRecord record = workers_[index]->record();
  const std::string id = "n" + std::to_string(++lastIncarnation_);
  record.id = {id};
  record.name.clear();
  record.endpoint.port = static_cast<std::uint16_t>(workers_.size() + 1);
  record.softwareVersion = version;
  workers_[index]->beginLeaving();
  heard(*workers_[index]);
  workers_.push_back(std::make_unique<ServingWorker>(record, options_.worker, scheduler_));
  workers_.back()->setOnDisk(workers_[index]->onDisk());
  beat(workers_.size() - 1);
  scheduler_.after(kLeastLeaving, [this, index] { endIfIdle(index); });
}

void ServingFleet::endIfIdle(std::size_t index) {
  if (workers_[index]->crashed()) {
    return;
  }
  if (workers_[index]->running().empty()) {
    workers_[index]->crash();
    return;
  }
  scheduler_.after(kLeavingCheck, [this, index] { endIfIdle(index); });
}

void ServingFleet::crashWorkers(base::Duration begin, std::size_t count) {
  scheduler_.after(begin, [this, count] {
    for (const std::size_t index : drawServing(count)) {
      noteBroken(*workers_[index]);
      workers_[index]->crash();
      scheduler_.after(kWorkerDown, [this, index] { restartWorker(index); });
    }
  });
}

void ServingFleet::restartInPlace(base::Duration begin, std::size_t count, base::Duration down,
                                  const std::string& version) {
  scheduler_.after(begin, [this, count, down, version] {
    for (const std::size_t index : drawServing(count)) {
      noteBroken(*workers_[index]);
      workers_[index]->crash();
      scheduler_.after(down, [this, index, version] { beginNextLife(index, version); });
    }
  });
}

/// The worker is empty but for its disk. It takes requests some time before its first heartbeat.
void ServingFleet::beginNextLife(std::size_t index, const std::string& version) {
  registry::WorkerRecord record = workers_[index]->record();
  record.name = record.calledName();
  record.bornMillis = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(scheduler_.now().time_since_epoch())
          .count());
  record.id = registry::workerIdOf(record.name, record.bornMillis);
  record.softwareVersion = version;
  auto next = std::make_unique<ServingWorker>(record, options_.worker, scheduler_);
  next->setOnDisk(workers_[index]->onDisk());
  formerWorkers_.push_back(std::exchange(workers_[index], std::move(next)));
  scheduler_.after(scheduler_.random().between(base::Duration::zero(), kLongestUnregistered),
                   [this, index] { heard(*workers_[index]); });
}

void ServingFleet::resetConnections(base::Duration begin, double share) {
  scheduler_.after(begin, [this, share] {
    for (const auto& worker : workers_) {
      for (const auto& call : worker->resetConnections(share)) {
        streams_.broken(requestId(*call));
      }
    }
  });
}

/// The connections of a gateway that ended are gone, so that workers end what it sent.
void ServingFleet::endCallsOf(std::size_t gateway) {
  for (const auto& worker : workers_) {
    for (const auto& call : worker->running()) {
      call->cancelled = call->cancelled || call->gateway == gateway;
    }
  }
}

bool ServingFleet::isVersionServed(const std::string& version) const {
  const auto count = std::count_if(workers_.begin(), workers_.end(), [&version](const auto& each) {
    return !each->crashed() && !each->record().leaving && each->record().softwareVersion == version;
  });
  return static_cast<std::size_t>(count) >= kLeastWorkersOfVersion;
}

/// Prepares the try of a caller that takes its stream up, and counts the tries that are compared.
void ServingFleet::noteStreamSent(Caller& caller) {
  caller.takesUp = caller.stream.lastId() > 0;
  const std::set<std::string>& versions = caller.stream.versions();
  const bool served = std::all_of(versions.begin(), versions.end(),
                                  [this](const auto& version) { return isVersionServed(version); });
  caller.counts = inTouch(caller.gatewayIndex) && caller.counting == counting_ &&
                  options_.callersTakeUp && (!caller.takesUp || served);
  if (caller.counts) {
    versions_.sent(caller.takesUp);
  }
}

void ServingFleet::noteVersions(Caller& caller) {
  if (caller.stream.versions().size() > 1) {
    versions_.mixed(caller.body);
  }
  if (std::exchange(caller.counts, false) && caller.counting == counting_) {
    versions_.begun(caller.takesUp);
  }
}

}  // namespace walnut::simulator
