#include "simulator/fleet_server.h"

#include <utility>
#include <variant>

#include "walnut/protocol/codec.h"

namespace walnut::simulator {

namespace {

constexpr std::size_t kKilobyte = 1000;
/// As the loop of RegistryHost.
constexpr base::Duration kSettleSlice = std::chrono::milliseconds(20);
/// What came meanwhile is taken in one turn; so many at most.
constexpr std::size_t kMostInputsInTurn = 64;
/// As RegistryHost.
constexpr std::size_t kMaxBatchesInFlight = 3;

registry::RegistryOptions withOverlappingBatches(registry::RegistryOptions options) {
  options.raft.maxBatchesInFlight = kMaxBatchesInFlight;
  return options;
}

}  // namespace

std::size_t syncCount(const consensus::PersistBatch& batch, bool isFirstOfFolder) {
  const bool appends = !batch.entries.empty() || batch.truncateFrom || batch.hardState;
  std::size_t syncs = isFirstOfFolder && !batch.empty() ? 2 : 0;
  if (batch.snapshot) {
    syncs += batch.syncsRecovered && !isFirstOfFolder ? 3 : 2;
  } else if (batch.syncsRecovered && !appends && !isFirstOfFolder) {
    syncs += 1;
  }
  return syncs + (appends ? 1 : 0);
}

base::Duration messageTime(std::size_t bytes) {
  return kTimePerMessage + kMessageTimePerKilobyte * bytes / kKilobyte;
}

FleetServer::FleetServer(std::size_t index, registry::RegistryOptions options, Scheduler& scheduler,
                         FleetServerLinks& links, double share)
    : index_(index),
      options_(withOverlappingBatches(std::move(options))),
      scheduler_(scheduler),
      links_(links),
      processor_(scheduler, share) {}

void FleetServer::start(const consensus::Membership& founders) {
  ++life_;
  if (log_.state.self == base::ServerId{}) {
    // Founders have the identity that the membership names; any other draws a fresh one.
    const bool founder = index_ < founders.members.size();
    log_.state.self = founder
                          ? founders.members[index_].id
                          : base::ServerId{scheduler_.random().uniform(1'000'000, 1'000'000'000)};
  }
  log_.state.needsSync = true;
  registry_ = registry::makeRegistry(options_, log_.state, founders, reader_, events_,
                                     scheduler_.random().uniform(1, 1'000'000), scheduler_.now());
  wakeupAt_ = base::kNever;
  scheduleWakeup();
}

void FleetServer::kill() {
  ++life_;
  unsettled_ = 0;
  registry_.reset();
  processor_.reset();
  syncing_.clear();
  if (!log_.hasFiles) {
    log_ = {};  // Its identity was never written.
  }
}

base::Duration FleetServer::drawSyncTime(std::size_t syncs) {
  base::Duration time{0};
  for (std::size_t sync = 0; sync < syncs && meanSyncTime_ > time.zero(); ++sync) {
    time += scheduler_.random().between(meanSyncTime_ / 2, meanSyncTime_ * 3 / 2);
  }
  return time;
}

void FleetServer::post(registry::RegistryInput input, std::size_t bytes, std::size_t textBytes) {
  if (!running()) {
    return;
  }
  const auto shared = std::make_shared<registry::RegistryInput>(std::move(input));
  const auto* received = std::get_if<registry::LinkReceived>(shared.get());
  const bool consensus =
      received != nullptr && std::holds_alternative<consensus::Message>(received->message);
  const auto take = [this, shared, bytes, textBytes] {
    processor_.charge(messageTime(bytes) + kReadTimePerKilobyte * textBytes / kKilobyte);
    registry_->step(scheduler_.now(), *shared);
    if (processor_.waitingCount() == 0 || ++unsettled_ >= kMostInputsInTurn) {
      settle();
    }
  };
  if (consensus) {
    processor_.postFirst(take);
  } else {
    processor_.post(take);
  }
}

void FleetServer::settle() {
  unsettled_ = 0;
  bool more = true;
  while (more && processor_.turnTime() < kSettleSlice) {
    registry::RegistryOutputs outputs = registry_->takeOutputs();
    const bool persisted = persist(outputs.persist);
    for (registry::RegistryAction& action : outputs.actions) {
      perform(action);
    }
    if (persisted) {
      registry_->step(scheduler_.now(), registry::Persisted{});
    }
    more = persisted || !outputs.actions.empty();
    processor_.charge(kReadTimePerKilobyte * reader_.takeBytesRead() / kKilobyte);
  }
  if (more) {
    post(registry::Tick{}, 0);
  } else {
    scheduleWakeup();
  }
}

/// @return true if the batch is durable at once; else Persisted follows.
bool FleetServer::persist(const consensus::PersistBatch& batch) {
  const base::Duration time = drawSyncTime(syncCount(batch, !log_.hasFiles));
  if (batch.empty()) {
    return false;
  }
  if (time == base::Duration::zero() && syncing_.empty()) {
    log_.persist(batch);
    return true;
  }
  syncing_.push_back(batch);
  scheduler_.after(time, [this, life = life_, number = batch.number] {
    if (life == life_) {
      finishSync(number);
    }
  });
  return false;
}

void FleetServer::finishSync(std::uint64_t number) {
  while (!syncing_.empty() && syncing_.front().number <= number) {
    log_.persist(syncing_.front());
    syncing_.pop_front();
  }
  post(registry::Persisted{number}, 0);
}

void FleetServer::perform(registry::RegistryAction& action) {
  if (auto* answered = std::get_if<registry::CallAnswered>(&action)) {
    processor_.atEndOfTurn(
        [this, done = std::move(*answered)] { links_.callAnswered(done.call, done.answer); });
  } else if (auto* member = std::get_if<control::SendToServer>(&action)) {
    send(std::move(member->message), [this, to = member->server](auto message, std::size_t bytes) {
      links_.sendToMember(index_, to, std::move(message), bytes);
    });
  } else if (auto* other = std::get_if<registry::SendToEndpoint>(&action)) {
    send(std::move(other->message), [this, to = other->endpoint](auto message, std::size_t bytes) {
      links_.sendToEndpoint(index_, to, std::move(message), bytes);
    });
  } else if (auto* back = std::get_if<control::SendToConnection>(&action)) {
    send(std::move(back->message), [this, to = back->connection](auto message, std::size_t bytes) {
      links_.sendToConnection(index_, to, std::move(message), bytes);
    });
  }
  // Orders and reports: a fleet's workers hold what they hold.
}

void FleetServer::send(protocol::Message message, const Sender& sender) {
  const std::size_t bytes = protocol::encodeMessage(message).size();
  processor_.charge(messageTime(bytes));
  processor_.atEndOfTurn(
      [sender, bytes, shared = std::make_shared<const protocol::Message>(std::move(message))] {
        sender(shared, bytes);
      });
}

void FleetServer::scheduleWakeup() {
  const base::TimePoint next = registry_->nextWakeup();
  if (next >= wakeupAt_) {
    return;
  }
  wakeupAt_ = next;
  scheduler_.at(next, [this, life = life_, next] {
    if (life != life_ || wakeupAt_ != next) {
      return;
    }
    wakeupAt_ = base::kNever;
    post(registry::Tick{}, 0);
  });
}

}  // namespace walnut::simulator
