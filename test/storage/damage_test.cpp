/// @file
/// Tests of bit flips, truncation and loss of each file. The damage must be detected with the name
/// of the file, or be truncated if it is in the last frame. Recovery must never return a wrong
/// entry nor silently lose data that is followed by intact frames.

#include <algorithm>

#include "storage/checked_block.h"
#include "storage/memory_file_system.h"
#include "storage/scripted_batches.h"
#include "storage/segment.h"
#include "storage/state_files.h"
#include "walnut/factories.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::storage;
using namespace walnut::storage::test;

namespace {

/// Folder with a vote, a snapshot, closed segments and a last segment of several frames, and the
/// expected state after each batch.
struct Folder {
  MemoryFileSystem files;
  std::vector<consensus::RecoveredState> states{freshState()};
};

constexpr std::uint64_t kSegmentBytes = 300;

void persistAll(Folder& folder, const std::vector<consensus::PersistBatch>& script) {
  const auto storage = makeLogStorage(folder.files, kSegmentBytes);
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  for (const consensus::PersistBatch& batch : script) {
    CHECK_TRUE(storage->persist(batch).has_value());
    folder.states.push_back(prefixStates(folder.states.back(), batch).back());
  }
}

/// Makes a folder whose last segment holds the entries from 17 on, in two frames.
Folder makeFolder() {
  std::vector<consensus::PersistBatch> script(9);
  script[0].hardState = consensus::HardState{3, base::ServerId{2}};
  script[1].entries = makeEntries(1, 1, 6);
  script[2].snapshot = makeSnapshot(4, 1);
  script[3].entries = makeEntries(1, 7, 9);
  script[4].truncateFrom = 8;
  script[4].entries = makeEntries(2, 8, 10);
  script[5].entries = makeEntries(2, 11, 13);
  script[6].entries = makeEntries(2, 14, 16);
  script[7].entries = makeEntries(3, 17, 18);
  script[8].entries = makeEntries(3, 19, 20);
  Folder folder;
  persistAll(folder, script);
  return folder;
}

base::Result<consensus::RecoveredState> recoverFolder(FileSystem& files) {
  return makeLogStorage(files, kSegmentBytes)->recover(kIdentity);
}

std::vector<std::string> namesOf(MemoryFileSystem files) {
  std::vector<std::string> names = files.list().value();
  return names;
}

std::string bytesOf(MemoryFileSystem files, const std::string& name) {
  std::string bytes = files.read(name).value();
  return bytes;
}

std::vector<std::string> segmentsOf(MemoryFileSystem files) {
  std::vector<std::string> segments;
  for (const std::string& name : namesOf(files)) {
    if (segmentNumberOf(name) != 0) {
      segments.push_back(name);
    }
  }
  std::sort(segments.begin(), segments.end());
  return segments;
}

void checkCorrupt(const base::Result<consensus::RecoveredState>& recovered,
                  const std::string& file) {
  CHECK_FALSE_TEXT(recovered.has_value(), file.c_str());
  CHECK_TRUE_TEXT(recovered.error().code == base::ErrorCode::corruptFile,
                  recovered.error().detail.c_str());
  STRCMP_EQUAL(file.c_str(), recovered.error().field.c_str());
}

/// @return the length of the segment without its last frame.
std::size_t lengthWithoutLastFrame(const std::string& name, const std::string& bytes) {
  const ParsedSegment parsed = parseSegment(segmentNumberOf(name), bytes).value();
  CHECK_TRUE(parsed.frames.size() > 1);
  for (std::size_t length = bytes.size() - 1;; --length) {
    const auto shorter = parseSegment(segmentNumberOf(name), bytes.substr(0, length)).value();
    if (shorter.end == SegmentEnd::intact) {
      return length;
    }
  }
}

}  // namespace

TEST_GROUP(DamageTest){};

TEST(DamageTest, undamagedFolderRecovers) {
  Folder folder = makeFolder();
  CHECK_TRUE(segmentsOf(folder.files).size() >= 3);
  CHECK_TRUE(equal(folder.states.back(), recoverFolder(folder.files).value()));
}

TEST(DamageTest, everyFlippedBitIsFoundOrCutsTheLastFrame) {
  const Folder pristine = makeFolder();
  const std::vector<std::string> names = namesOf(pristine.files);
  const std::string last = segmentsOf(pristine.files).back();
  const std::string lastBytes = bytesOf(pristine.files, last);
  const std::size_t tail = lengthWithoutLastFrame(last, lastBytes);
  for (const std::string& name : names) {
    const std::string bytes = bytesOf(pristine.files, name);
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
      Folder damaged = pristine;
      std::string flipped = bytes;
      flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
      damaged.files.replaceContents(name, flipped);
      const auto recovered = recoverFolder(damaged.files);
      if (name == last && bit / 8 >= tail) {
        CHECK_TRUE(recovered.has_value());
        CHECK_TRUE(equal(*(pristine.states.end() - 2), recovered.value()));
      } else {
        checkCorrupt(recovered, name);
      }
    }
  }
}

TEST(DamageTest, truncationAtEveryLengthIsFoundOrCutsFramesOfTheLastSegment) {
  const Folder pristine = makeFolder();
  const std::string last = segmentsOf(pristine.files).back();
  for (const std::string& name : namesOf(pristine.files)) {
    const std::string bytes = bytesOf(pristine.files, name);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      Folder damaged = pristine;
      damaged.files.replaceContents(name, bytes.substr(0, length));
      const auto recovered = recoverFolder(damaged.files);
      if (name == last) {
        CHECK_TRUE(recovered.has_value());
        CHECK_TRUE(containsState(pristine.states, recovered.value()));
      } else {
        checkCorrupt(recovered, name);
      }
    }
  }
}

TEST(DamageTest, bytesAfterTheEndAreFoundOrCut) {
  const Folder pristine = makeFolder();
  const std::string last = segmentsOf(pristine.files).back();
  for (const std::string& name : namesOf(pristine.files)) {
    for (const std::string& extra : {std::string("x"), std::string(100, '\0')}) {
      Folder damaged = pristine;
      damaged.files.replaceContents(name, damaged.files.read(name).value() + extra);
      const auto recovered = recoverFolder(damaged.files);
      if (name == last) {
        CHECK_TRUE(equal(pristine.states.back(), recovered.value()));
      } else {
        checkCorrupt(recovered, name);
      }
    }
  }
}

TEST(DamageTest, aLostFileIsReportedByName) {
  const Folder pristine = makeFolder();
  const std::vector<std::string> segments = segmentsOf(pristine.files);
  for (const std::string& name : namesOf(pristine.files)) {
    if (name == segments.back() || name == segments.front() || name == kSnapshotFile) {
      continue;  // Covered by the tests below.
    }
    Folder damaged = pristine;
    CHECK_TRUE(damaged.files.remove(name).has_value());
    checkCorrupt(recoverFolder(damaged.files), name);
  }
}

TEST(DamageTest, aLostFirstSegmentIsFoundByTheGap) {
  Folder folder = makeFolder();
  const std::vector<std::string> segments = segmentsOf(folder.files);
  CHECK_TRUE(folder.files.remove(segments.front()).has_value());
  checkCorrupt(recoverFolder(folder.files), segments[1]);
}

TEST(DamageTest, aLostSnapshotIsFoundOnceTheLogIsCompacted) {
  Folder folder = makeFolder();
  std::vector<consensus::PersistBatch> script(1);
  script[0].snapshot = makeSnapshot(16, 2);
  script[0].compactTo = 16;
  const std::size_t before = segmentsOf(folder.files).size();
  persistAll(folder, script);
  CHECK_TRUE(segmentsOf(folder.files).size() < before);
  CHECK_TRUE(equal(folder.states.back(), recoverFolder(folder.files).value()));
  CHECK_TRUE(folder.files.remove(kSnapshotFile).has_value());
  checkCorrupt(recoverFolder(folder.files), kSnapshotFile);
}

TEST(DamageTest, segmentsThatChangedPlacesAreFound) {
  Folder folder = makeFolder();
  const std::vector<std::string> segments = segmentsOf(folder.files);
  const std::string first = folder.files.read(segments[0]).value();
  folder.files.replaceContents(segments[0], folder.files.read(segments[1]).value());
  folder.files.replaceContents(segments[1], first);
  checkCorrupt(recoverFolder(folder.files), segments[0]);
}

TEST(DamageTest, anotherFormatVersionIsRefusedAsSuch) {
  struct Case {
    std::string file;
    BlockKind kind;
  };
  const std::string last = segmentsOf(makeFolder().files).back();
  for (const Case& each :
       {Case{kIdentityFile, BlockKind::identity}, Case{kVoteFile, BlockKind::vote},
        Case{kSnapshotFile, BlockKind::snapshot}, Case{last, BlockKind::segment}}) {
    Folder folder = makeFolder();
    folder.files.replaceContents(each.file, encodeBlock(each.kind, "?", kFormatVersion + 1));
    const auto recovered = recoverFolder(folder.files);
    CHECK_FALSE(recovered.has_value());
    CHECK_TRUE(recovered.error().code == base::ErrorCode::unsupportedVersion);
    STRCMP_EQUAL(each.file.c_str(), recovered.error().field.c_str());
  }
}

TEST(DamageTest, anIntactBlockOfAnotherKindIsRefused) {
  Folder folder = makeFolder();
  folder.files.replaceContents(kVoteFile, folder.files.read(kIdentityFile).value());
  checkCorrupt(recoverFolder(folder.files), kVoteFile);
}
