#include "storage/state_files.h"

#include "base/archive.h"

namespace walnut::storage {

namespace {

/// Snapshot file of builds that keep the hard state in the vote file.
struct EarlierSnapshotFile {
  SegmentNumber firstSegment = 1;
  consensus::Snapshot snapshot;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(firstSegment, snapshot);
  }
};

template <class T>
base::Result<T> decodePayload(const std::string& payload, const char* name) {
  base::Result<T> value = base::decode<T>(payload, name);
  if (!value) {
    return corruptFile(name, value.error().detail);
  }
  return value;
}

}  // namespace

base::Result<void> StateFiles::removeTemporaries(FileNames& names) {
  for (const char* name : {kIdentityFile, kVoteFile, kSnapshotFile}) {
    if (names.erase(std::string(name) + kTemporarySuffix) > 0) {
      BOOST_OUTCOME_TRY(files_.remove(std::string(name) + kTemporarySuffix));
    }
  }
  return base::success();
}

base::Result<base::ServerId> StateFiles::readIdentity() {
  BOOST_OUTCOME_TRY(payload, readPayload(BlockKind::identity, kIdentityFile));
  return decodePayload<base::ServerId>(payload, kIdentityFile);
}

base::Result<consensus::HardState> StateFiles::readVote() {
  BOOST_OUTCOME_TRY(payload, readPayload(BlockKind::vote, kVoteFile));
  return decodePayload<consensus::HardState>(payload, kVoteFile);
}

base::Result<SnapshotFile> StateFiles::readSnapshot() {
  BOOST_OUTCOME_TRY(payload, readPayload(BlockKind::snapshot, kSnapshotFile));
  if (auto earlier = base::decode<EarlierSnapshotFile>(payload, kSnapshotFile)) {
    return SnapshotFile{earlier.value().firstSegment, std::move(earlier.value().snapshot), {}};
  }
  return decodePayload<SnapshotFile>(payload, kSnapshotFile);
}

base::Result<void> StateFiles::writeFirst(base::ServerId identity) {
  BOOST_OUTCOME_TRY(
      vote, openTemporary(BlockKind::vote, kVoteFile, base::encode(consensus::HardState{})));
  BOOST_OUTCOME_TRY(file,
                    openTemporary(BlockKind::identity, kIdentityFile, base::encode(identity)));
  BOOST_OUTCOME_TRY(files_.syncTogether({vote.get(), file.get()}));
  BOOST_OUTCOME_TRY(files_.rename(std::string(kVoteFile) + kTemporarySuffix, kVoteFile));
  BOOST_OUTCOME_TRY(files_.rename(std::string(kIdentityFile) + kTemporarySuffix, kIdentityFile));
  return files_.syncFolder();
}

base::Result<void> StateFiles::writeSnapshot(const SnapshotFile& snapshot) {
  const std::string payload = base::encode(snapshot);
  if (payload.size() > kMaxSnapshotBytes) {
    return base::Error{base::ErrorCode::inputTooLarge, kSnapshotFile,
                       std::to_string(payload.size()) + " bytes"};
  }
  return replace(BlockKind::snapshot, kSnapshotFile, payload);
}

base::Result<std::string> StateFiles::readPayload(BlockKind kind, const std::string& name) {
  BOOST_OUTCOME_TRY(bytes, files_.read(name));
  BOOST_OUTCOME_TRY(block, decodeBlock(kind, bytes, name));
  if (block.totalBytes != bytes.size()) {
    return corruptFile(name, "bytes after the end");
  }
  return std::string(block.payload);
}

/// @return the temporary file of `name` with its contents, which are not synced.
base::Result<std::unique_ptr<AppendFile>> StateFiles::openTemporary(BlockKind kind,
                                                                    const std::string& name,
                                                                    std::string_view payload) {
  BOOST_OUTCOME_TRY(file, files_.openForAppend(name + kTemporarySuffix));
  BOOST_OUTCOME_TRY(file->append(encodeBlock(kind, payload)));
  return std::move(file);
}

base::Result<void> StateFiles::replace(BlockKind kind, const std::string& name,
                                       std::string_view payload) {
  BOOST_OUTCOME_TRY(file, openTemporary(kind, name, payload));
  BOOST_OUTCOME_TRY(file->sync());
  BOOST_OUTCOME_TRY(files_.rename(name + kTemporarySuffix, name));
  return files_.syncFolder();
}

}  // namespace walnut::storage
