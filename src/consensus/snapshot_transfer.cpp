#include "consensus/snapshot_transfer.h"

#include <utility>

#include "walnut/consensus/codec.h"

namespace walnut::consensus {

SnapshotChunk SnapshotSender::emptyChunk(Term term, std::uint64_t round) const {
  SnapshotChunk chunk;
  chunk.term = term;
  chunk.lastIndex = snapshot_->lastIndex;
  chunk.lastTerm = snapshot_->lastTerm;
  chunk.offset = offset_;
  chunk.totalBytes = snapshot_->bytes.size();
  chunk.round = round;
  return chunk;
}

SnapshotChunk SnapshotSender::takeData(Term term, std::uint64_t round, std::size_t maxBytes) {
  SnapshotChunk chunk = emptyChunk(term, round);
  chunk.data = snapshot_->bytes.substr(offset_, maxBytes);
  dataRound_ = round;
  dataDue_ = false;
  return chunk;
}

SnapshotChunk SnapshotSender::probe(Term term, std::uint64_t round) const {
  return emptyChunk(term, round);
}

void SnapshotSender::onReply(std::uint64_t nextOffset, std::uint64_t round) {
  if (nextOffset > snapshot_->bytes.size()) {
    return;
  }
  // A reply to a later round than that of the data shows that the data was lost, in part or whole.
  const bool dataLost = round > dataRound_;
  if (nextOffset > offset_ || dataLost) {
    offset_ = nextOffset;
    dataDue_ = true;
  }
}

bool SnapshotReceiver::isCurrent(const SnapshotChunk& chunk) const {
  return active_ && chunk.term == term_ && chunk.lastIndex == lastIndex_ &&
         chunk.lastTerm == lastTerm_ && chunk.totalBytes == totalBytes_;
}

std::optional<Snapshot> SnapshotReceiver::receive(const SnapshotChunk& chunk) {
  if (!isCurrent(chunk)) {
    if (active_ && chunk.term == term_ && chunk.lastIndex <= lastIndex_) {
      return std::nullopt;
    }
    clear();
    active_ = true;
    term_ = chunk.term;
    lastIndex_ = chunk.lastIndex;
    lastTerm_ = chunk.lastTerm;
    totalBytes_ = chunk.totalBytes;
  }
  if (chunk.offset != received_.size() || chunk.data.size() > totalBytes_ - received_.size()) {
    return std::nullopt;
  }
  received_ += chunk.data;
  if (received_.size() < totalBytes_) {
    return std::nullopt;
  }
  base::Result<Snapshot> snapshot = decodeSnapshot(received_);
  clear();
  if (snapshot.has_error() || snapshot.value().lastIndex != chunk.lastIndex ||
      snapshot.value().lastTerm != chunk.lastTerm) {
    return std::nullopt;
  }
  return std::move(snapshot).value();
}

std::uint64_t SnapshotReceiver::nextOffset(const SnapshotChunk& chunk) const {
  return isCurrent(chunk) ? received_.size() : 0;
}

void SnapshotReceiver::clear() {
  active_ = false;
  received_.clear();
  received_.shrink_to_fit();
}

}  // namespace walnut::consensus
