/// @file
/// Tests of the decoders of segments and blocks with malformed input, under valid and invalid
/// checksums.

#include "storage/segment.h"

#include <cstring>

#include "storage/checked_block.h"
#include "storage/scripted_batches.h"
#include "walnut/base/random.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::storage;
using namespace walnut::storage::test;

namespace {

constexpr SegmentNumber kNumber = 5;

std::string header(SegmentNumber number = kNumber) {
  SegmentHeader place;
  place.number = number;
  return encodeSegmentHeader(place);
}

void appendFrame(std::string& segment, const LogFrame& frame) {
  const FramePosition position{kNumber, segment.size(), segment.size()};
  segment += encodeFrame(position, frame).value().bytes;
}

/// @return an encoded segment of three frames with two entries each.
std::string makeSegment() {
  std::string segment = header();
  for (const consensus::LogIndex first : {1U, 3U, 5U}) {
    appendFrame(segment, {first, makeEntries(1, first, first + 1), {}});
  }
  return segment;
}

ParsedSegment parse(const std::string& bytes) { return parseSegment(kNumber, bytes).value(); }

/// Checks that parsing yields a prefix of the original frames.
void checkPrefix(const ParsedSegment& parsed) {
  CHECK_TRUE(parsed.frames.size() <= 3);
  for (std::size_t index = 0; index < parsed.frames.size(); ++index) {
    const consensus::LogIndex first = 2 * index + 1;
    CHECK_EQUAL(first, parsed.frames[index].truncateFrom);
    CHECK_TRUE(parsed.frames[index].entries == makeEntries(1, first, first + 1));
  }
}

}  // namespace

TEST_GROUP(SegmentTest){};

TEST(SegmentTest, roundTrip) {
  const ParsedSegment parsed = parse(makeSegment());
  CHECK_TRUE(parsed.end == SegmentEnd::intact);
  CHECK_EQUAL(makeSegment().size(), parsed.intactBytes);
  CHECK_EQUAL(3U, parsed.frames.size());
  checkPrefix(parsed);
}

TEST(SegmentTest, names) {
  STRCMP_EQUAL("log-00000000000000ff", segmentFileName(255).c_str());
  CHECK_EQUAL(255U, segmentNumberOf("log-00000000000000ff"));
  CHECK_EQUAL(~0ULL, segmentNumberOf(segmentFileName(~0ULL)));
  for (const char* name : {"", "log-", "log-ff", "log-00000000000000FF", "log-00000000000000fg",
                           "log-0000000000000000", "log-00000000000000ff0", "vote"}) {
    CHECK_EQUAL(0U, segmentNumberOf(name));
  }
}

TEST(SegmentTest, drawnDamageYieldsAPrefix) {
  const std::string pristine = makeSegment();
  base::Random random(1);
  for (int count = 0; count < 5000; ++count) {
    std::string bytes = pristine;
    for (std::uint64_t changes = random.uniform(1, 6); changes > 0; --changes) {
      const std::size_t position = random.uniform(0, bytes.size() - 1);
      const std::size_t length = random.uniform(1, 40);
      bytes.replace(position, length,
                    std::string(length, static_cast<char>(random.uniform(0, 255))));
      bytes.resize(random.uniform(bytes.size() / 2, bytes.size()));
    }
    checkPrefix(parse(bytes));
  }
}

TEST(SegmentTest, aFrameIsOnlyValidInItsPlace) {
  const std::string pristine = makeSegment();
  const std::size_t start = header().size();
  const std::size_t frameBytes = (pristine.size() - start) / 3;
  const std::string first = pristine.substr(start, frameBytes);
  const std::string second = pristine.substr(start + frameBytes, frameBytes);
  CHECK_TRUE_TEXT(parse(header() + first + first).end == SegmentEnd::torn, "repeated");
  CHECK_TRUE_TEXT(parse(header() + second).frames.empty(), "moved");
  const auto copied = parseSegment(kNumber + 1, header(kNumber + 1) + first).value();
  CHECK_TRUE_TEXT(copied.frames.empty(), "from another segment");
  CHECK_FALSE_TEXT(parseSegment(kNumber + 1, pristine).value().headerIntact, "renamed");
}

TEST(SegmentTest, oversizedLengthsAreRejected) {
  const std::string pristine = makeSegment();
  const std::size_t lengthAt = header().size() + sizeof(std::uint32_t);
  for (const std::uint32_t length : {0U, 1U, 0x7fffffffU, 0xffffffffU}) {
    std::string bytes = pristine;
    std::memcpy(bytes.data() + lengthAt, &length, sizeof(length));
    const ParsedSegment parsed = parse(bytes);
    CHECK_TRUE(parsed.end == SegmentEnd::damaged);
    CHECK_EQUAL(0U, parsed.frames.size());
  }
}

TEST(SegmentTest, anEntryThatCannotBeReadBackIsDamageAlsoInTheLastFrame) {
  std::string segment = makeSegment();
  std::vector<consensus::LogEntry> entries = makeEntries(1, 7, 7);
  entries.front().type = static_cast<consensus::EntryType>(9);
  appendFrame(segment, {0, entries, {}});
  const ParsedSegment parsed = parse(segment);
  CHECK_TRUE(parsed.end == SegmentEnd::damaged);
  CHECK_EQUAL(3U, parsed.frames.size());
}

TEST(SegmentTest, aBatchAboveTheLimitIsRefusedWhenWritten) {
  consensus::LogEntry entry;
  entry.payload.assign(kMaxFrameBytes, 'x');
  const auto encoded = encodeFrame({kNumber, 0, 0}, {0, {entry}, {}});
  CHECK_TRUE(encoded.error().code == base::ErrorCode::inputTooLarge);
}

TEST(SegmentTest, aTornFrameFullOfFrameHeadersIsCutInOnePass) {
  // A command may contain any bytes. If the search for intact frames hashed the rest of the file at
  // each copy of the magic number, this test would not finish in reasonable time.
  std::string segment = makeSegment();
  const std::size_t intactBytes = segment.size();
  const std::string start = segment.substr(header().size(), sizeof(std::uint32_t));
  const std::uint32_t length = 1U << 20U;
  std::string payload;
  while (payload.size() < (16U << 20U)) {
    payload += start;
    payload.append(reinterpret_cast<const char*>(&length), sizeof(length));
  }
  appendFrame(segment, {0, {{1, 7, consensus::EntryType::command, payload}}, {}});
  segment.resize(segment.size() - 1);
  const ParsedSegment parsed = parse(segment);
  CHECK_TRUE(parsed.end == SegmentEnd::torn);
  CHECK_EQUAL(intactBytes, parsed.intactBytes);
}

TEST_GROUP(CheckedBlockTest){};

TEST(CheckedBlockTest, malformedBlocksAreCorrupt) {
  const std::string pristine = encodeBlock(BlockKind::vote, "payload");
  const auto code = [](const std::string& bytes) {
    const auto block = decodeBlock(BlockKind::vote, bytes, "file");
    CHECK_TRUE(block.has_error());
    STRCMP_EQUAL("file", block.error().field.c_str());
    return block.error().code;
  };
  for (std::size_t length = 0; length < pristine.size(); ++length) {
    CHECK_TRUE(code(pristine.substr(0, length)) == base::ErrorCode::corruptFile);
  }
  for (std::size_t bit = 0; bit < pristine.size() * 8; ++bit) {
    std::string bytes = pristine;
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
    CHECK_TRUE(code(bytes) == base::ErrorCode::corruptFile);
  }
  for (const std::uint64_t size : {~0ULL, ~0ULL - 31, 1ULL << 40U}) {
    std::string bytes = pristine;
    std::memcpy(bytes.data() + 16, &size, sizeof(size));
    CHECK_TRUE(code(bytes) == base::ErrorCode::corruptFile);
  }
  CHECK_TRUE(code(encodeBlock(BlockKind::vote, "payload", kFormatVersion + 1)) ==
             base::ErrorCode::unsupportedVersion);
  CHECK_TRUE(code(encodeBlock(BlockKind::identity, "payload")) == base::ErrorCode::corruptFile);
}
