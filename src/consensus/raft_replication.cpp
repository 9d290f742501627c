/// @file
/// Messages of a leader to its followers. They are created when the outputs are taken, so that all
/// entries proposed since the last sync are sent together.

#include "consensus/raft_impl.h"
#include "walnut/consensus/codec.h"

namespace walnut::consensus {

void RaftImpl::flushFollowers() {
  const bool heartbeat = rounds_.close();
  for (auto& [server, progress] : leaderState_->followers) {
    flushFollower(server, progress, heartbeat);
  }
}

void RaftImpl::flushFollower(base::ServerId server, Progress& progress, bool heartbeat) {
  const bool needsSnapshot = progress.nextIndex() <= log_.baseIndex();
  if (needsSnapshot && progress.state() != ProgressState::snapshot) {
    progress.beginSnapshot(encodedSnapshot());
  }
  if (progress.state() == ProgressState::snapshot) {
    sendSnapshot(server, progress, heartbeat);
  } else {
    sendAppends(server, progress, heartbeat);
  }
}

void RaftImpl::sendAppends(base::ServerId server, Progress& progress, bool heartbeat) {
  if (heartbeat) {
    progress.allowNextProbe();
  }
  bool sent = false;
  while (progress.nextIndex() <= log_.lastIndex() && progress.mayAppend()) {
    AppendRequest request = makeAppend(progress, true);
    progress.appendSent(request.entries.back().index, commitIndex_);
    send(server, std::move(request));
    sent = true;
  }
  if (!sent && (heartbeat || progress.needsCommitUpdate(commitIndex_))) {
    AppendRequest request = makeAppend(progress, false);
    progress.appendSent(request.previousIndex, commitIndex_);
    send(server, std::move(request));
  }
}

AppendRequest RaftImpl::makeAppend(const Progress& progress, bool withEntries) const {
  AppendRequest request;
  request.term = hardState_.term;
  request.previousIndex = progress.nextIndex() - 1;
  request.previousTerm = log_.termAt(request.previousIndex).value();
  request.commitIndex = commitIndex_;
  request.round = rounds_.latest();
  if (withEntries) {
    request.entries = log_.batchFrom(progress.nextIndex(), options_.maxEntriesPerAppend,
                                     options_.maxBytesPerAppend);
  }
  return request;
}

void RaftImpl::sendSnapshot(base::ServerId server, Progress& progress, bool heartbeat) {
  const bool outdated = progress.snapshotSender().lastIndex() != snapshot_->lastIndex;
  if (outdated && progress.snapshotSender().offset() == 0) {
    progress.beginSnapshot(encodedSnapshot());
  }
  SnapshotSender& sender = progress.snapshotSender();
  if (sender.dataDue()) {
    send(server, sender.takeData(hardState_.term, rounds_.latest(), options_.snapshotChunkBytes));
  } else if (heartbeat) {
    send(server, sender.probe(hardState_.term, rounds_.latest()));
  }
}

std::shared_ptr<const EncodedSnapshot> RaftImpl::encodedSnapshot() {
  if (!encodedSnapshot_) {
    encodedSnapshot_ = std::make_shared<const EncodedSnapshot>(
        EncodedSnapshot{snapshot_->lastIndex, snapshot_->lastTerm, encodeSnapshot(*snapshot_)});
  }
  return encodedSnapshot_;
}

}  // namespace walnut::consensus
