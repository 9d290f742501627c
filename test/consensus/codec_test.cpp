#include "walnut/consensus/codec.h"

#include <cstring>
#include <functional>

#include "base/archive.h"
#include "consensus/test_messages.h"
#include "consensus/test_server.h"
#include "walnut/base/random.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;

namespace {

/// Format under test: a sample, and a decoder that reports the error code or, if it succeeds,
/// encodes the value again.
struct Format {
  const char* name;
  std::string sample;
  std::function<base::Result<std::string>(std::string_view)> recode;
};

template <class T>
Format makeFormat(const char* name, const T& value, std::string (*encode)(const T&),
                  base::Result<T> (*decode)(std::string_view)) {
  return {name, encode(value), [=](std::string_view bytes) -> base::Result<std::string> {
            const base::Result<T> decoded = decode(bytes);
            if (!decoded) {
              return decoded.error();
            }
            return encode(decoded.value());
          }};
}

std::vector<Format> allFormats() {
  Snapshot snapshot;
  snapshot.lastIndex = 30;
  snapshot.lastTerm = 4;
  snapshot.membershipIndex = 7;
  snapshot.membership = makeMembership(2);
  snapshot.data = "state";
  return {makeFormat("membership", makeMembership(3), encodeMembership, decodeMembership),
          makeFormat("entry", makeEntries(3, 8, 8).front(), encodeEntry, decodeEntry),
          makeFormat("snapshot", snapshot, encodeSnapshot, decodeSnapshot)};
}

void checkMalformed(const Format& format, std::string_view bytes) {
  const auto recoded = format.recode(bytes);
  CHECK_FALSE_TEXT(recoded.has_value(), format.name);
  CHECK_TRUE_TEXT(recoded.error().code == base::ErrorCode::malformedInput, format.name);
}

/// Checks that bytes which can be decoded are the canonical encoding of their value.
void checkRefusedOrCanonical(const Format& format, const std::string& bytes) {
  const auto recoded = format.recode(bytes);
  if (recoded) {
    CHECK_TRUE_TEXT(recoded.value() == bytes, format.name);
  } else {
    CHECK_TRUE_TEXT(recoded.error().code == base::ErrorCode::malformedInput, format.name);
  }
}

}  // namespace

TEST_GROUP(CodecTest){};

TEST(CodecTest, roundTrip) {
  for (const Format& format : allFormats()) {
    CHECK_TRUE_TEXT(format.recode(format.sample).value() == format.sample, format.name);
  }
}

TEST(CodecTest, everyTruncationIsMalformed) {
  for (const Format& format : allFormats()) {
    for (std::size_t length = 0; length < format.sample.size(); ++length) {
      checkMalformed(format, std::string_view(format.sample).substr(0, length));
    }
  }
}

TEST(CodecTest, bytesAfterTheEndAreMalformed) {
  for (const Format& format : allFormats()) {
    checkMalformed(format, format.sample + '\0');
    checkMalformed(format, format.sample + format.sample);
  }
}

TEST(CodecTest, everyFlippedBitIsRefusedOrCanonical) {
  for (const Format& format : allFormats()) {
    for (std::size_t bit = 0; bit < format.sample.size() * 8; ++bit) {
      std::string flipped = format.sample;
      flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
      checkRefusedOrCanonical(format, flipped);
    }
  }
}

TEST(CodecTest, everyOversizedCountIsRefused) {
  for (const Format& format : allFormats()) {
    for (const std::uint64_t count : {~0ULL, 1ULL << 63U, 1ULL << 40U, 1ULL << 31U}) {
      for (std::size_t offset = 0; offset + sizeof(count) <= format.sample.size(); ++offset) {
        std::string oversized = format.sample;
        std::memcpy(oversized.data() + offset, &count, sizeof(count));
        checkRefusedOrCanonical(format, oversized);
      }
    }
  }
}

TEST(CodecTest, drawnBytesAreRefusedOrCanonical) {
  base::Random random(1);
  for (const Format& format : allFormats()) {
    for (int count = 0; count < 3000; ++count) {
      std::string bytes = format.sample;
      for (std::uint64_t changes = random.uniform(1, 8); changes > 0; --changes) {
        bytes[random.uniform(0, bytes.size() - 1)] = static_cast<char>(random.uniform(0, 255));
      }
      bytes.resize(random.uniform(0, bytes.size() + 4));
      checkRefusedOrCanonical(format, bytes);
    }
  }
}

TEST(CodecTest, unknownKindsAreMalformed) {
  LogEntry entry = makeEntries(3, 8, 8).front();
  entry.type = static_cast<EntryType>(3);
  CHECK_TRUE(decodeEntry(encodeEntry(entry)).has_error());
  Membership membership = makeMembership(3);
  membership.members[1].role = static_cast<MemberRole>(4);
  CHECK_TRUE(decodeMembership(encodeMembership(membership)).has_error());
  Snapshot snapshot;
  snapshot.membership = membership;
  CHECK_TRUE(decodeSnapshot(encodeSnapshot(snapshot)).has_error());
}
