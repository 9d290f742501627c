#include "consensus/cluster_server.h"

#include <utility>

#include "walnut/factories.h"

namespace walnut::consensus::test {

namespace {

/// Size to which the state is padded, so that a snapshot takes many chunks.
constexpr std::size_t kStateBytes = 300;
/// Prime of the FNV-1a hash.
constexpr std::uint64_t kDigestPrime = 0x100000001b3ULL;

std::uint64_t addToDigest(std::uint64_t digest, std::string_view bytes) {
  for (const char byte : bytes) {
    digest = (digest ^ static_cast<unsigned char>(byte)) * kDigestPrime;
  }
  return digest;
}

std::string encodeState(std::uint64_t digest) {
  std::string state = std::to_string(digest);
  return state.append(kStateBytes - state.size(), ' ');
}

std::uint64_t decodeState(const std::string& state) { return std::stoull(state); }

}  // namespace

void ClusterServer::start(const RaftOptions& options, const Membership& bootstrap,
                          std::uint64_t seed, base::TimePoint now) {
  ++incarnation_;
  applied_ = 0;
  digest_ = 0;
  frozen = false;
  wakeup = base::kNever;
  maxBatchesInFlight_ = options.maxBatchesInFlight;
  RecoveredState recovered = disk_.recover();
  recovered.needsSync = true;
  raft_ = makeRaft(options, std::move(recovered), bootstrap, seed, now);
}

void ClusterServer::crash(base::Random& random) {
  for (std::size_t whole = random.uniform(0, syncing_.size()); whole > 0; --whole) {
    persist(syncing_.front(), MemoryDisk::effectCount(syncing_.front()));
    syncing_.pop_front();
  }
  const PersistBatch batch = syncing_.empty() ? PersistBatch{} : syncing_.front();
  const std::size_t effects = random.uniform(0, MemoryDisk::effectCount(batch));
  switch (random.uniform(0, 2)) {
    case 0:
      disk_.crashProcess(batch, effects);
      break;
    case 1:
      disk_.crashMachine();
      break;
    default:
      persist(batch, effects);
  }
  raft_.reset();
  syncing_.clear();
  reads_.clear();
  heldMessages.clear();
  syncedWhileFrozen.clear();
}

std::vector<Message> ClusterServer::takeOutputs() {
  RaftOutputs outputs = raft_->takeOutputs();
  if (!outputs.persist.empty()) {
    const bool overlaps = !syncing_.empty();
    checker_.require(!overlaps || (syncing_.back().mayOverlap() && outputs.persist.mayOverlap()),
                     id_, "a batch was output beside one that it must not overlap with");
    syncing_.push_back(std::move(outputs.persist));
    checker_.require(syncing_.size() <= maxBatchesInFlight_ + (maxBatchesInFlight_ > 1 ? 3 : 0),
                     id_, "too many batches in flight");
  }
  if (raft_->status().role == Role::leader) {
    observeLeadership();
  }
  apply(outputs);
  answerReads();
  return std::move(outputs.messages);
}

void ClusterServer::observeLeadership() {
  MemoryDisk view = disk_;
  for (const PersistBatch& batch : syncing_) {
    view.persist(batch);
  }
  checker_.onLeader(id_, raft_->status().term, view.state());
}

void ClusterServer::persist(const PersistBatch& batch, std::size_t effects) {
  const RecoveredState before = disk_.state();
  disk_.persistPrefix(batch, effects);
  checker_.onPersisted(id_, before, disk_.state());
}

void ClusterServer::finishSync(base::TimePoint now, std::uint64_t batch) {
  while (!syncing_.empty() && syncing_.front().number <= batch) {
    persist(syncing_.front(), MemoryDisk::effectCount(syncing_.front()));
    syncing_.pop_front();
  }
  raft_->onPersisted(now, batch);
}

void ClusterServer::apply(const RaftOutputs& outputs) {
  if (outputs.installed) {
    checker_.require(outputs.installed->lastIndex > applied_, id_, "its state went back");
    snapshotsInstalled_ += applied_ > 0 ? 1 : 0;
    applied_ = outputs.installed->lastIndex;
    digest_ = decodeState(outputs.installed->data);
    checker_.onInstalled(id_, *outputs.installed, digest_);
  }
  for (const LogEntry& entry : outputs.committed) {
    checker_.require(entry.index == applied_ + 1, id_, "applied entries out of order");
    applied_ = entry.index;
    digest_ = addToDigest(digest_, entry.payload + std::to_string(entry.index));
    checker_.onApplied(id_, raft_->status().term, entry, digest_);
  }
}

void ClusterServer::compact(std::size_t keepEntries) {
  raft_->compact(applied_, encodeState(digest_), keepEntries);
}

void ClusterServer::beginRead(base::TimePoint now) {
  const auto token = raft_->beginRead(now);
  if (token) {
    reads_.push_back({token.value(), checker_.committed()});
  }
}

void ClusterServer::answerReads() {
  while (!reads_.empty()) {
    const auto index = raft_->readReady(reads_.front().token);
    if (index && !index.value()) {
      return;
    }
    if (index) {
      checker_.onRead(id_, reads_.front().appliedBefore, *index.value());
    }
    reads_.pop_front();
  }
}

}  // namespace walnut::consensus::test
