#include "transport/frame.h"

#include <vector>

#include "harness.h"
#include "walnut/protocol/codec.h"

using namespace walnut;
using base::ErrorCode;
using transport::FrameReader;

TEST_GROUP(FrameTest){};

TEST(FrameTest, framesSurviveAnySplit) {
  const std::string bytes = transport::probeFrame(1) + transport::probeFrame(2);
  for (std::size_t split = 0; split <= bytes.size(); ++split) {
    FrameReader reader;
    std::vector<std::uint64_t> sequences;
    for (const std::string& part : {bytes.substr(0, split), bytes.substr(split)}) {
      reader.feed(part);
      for (auto message = reader.next().value(); message; message = reader.next().value()) {
        sequences.push_back(std::get<protocol::ProbeRequest>(*message).sequence);
      }
    }
    CHECK_TRUE((sequences == std::vector<std::uint64_t>{1, 2}));
  }
}

TEST(FrameTest, everyChangedBitIsFound) {
  const std::string bytes = transport::probeFrame(1);
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string damaged = bytes;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    FrameReader reader;
    reader.feed(damaged);
    const auto message = reader.next();
    // A changed byte that increases the length makes the reader wait for more data; all other
    // changes are immediate errors.
    CHECK_TRUE(message.has_error() || !message.value().has_value());
  }
}

TEST(FrameTest, oversizedLengthIsRefusedFromTheHeaderAlone) {
  const std::uint32_t length = protocol::kMaxFrameBytes + 1;
  std::string header = transport::probeFrame(1).substr(0, transport::kFrameHeaderBytes);
  header.replace(4, sizeof(length), reinterpret_cast<const char*>(&length), sizeof(length));
  FrameReader reader;
  reader.feed(header);
  CHECK_TRUE(reader.next().error().code == ErrorCode::inputTooLarge);
  CHECK_TRUE(reader.capacity() < 1024);
}

TEST(FrameTest, largestLengthReservesNothing) {
  const std::uint32_t length = protocol::kMaxFrameBytes;
  std::string header = transport::probeFrame(1).substr(0, transport::kFrameHeaderBytes);
  header.replace(4, sizeof(length), reinterpret_cast<const char*>(&length), sizeof(length));
  FrameReader reader;
  reader.feed(header);
  CHECK_FALSE(reader.next().value().has_value());
  CHECK_TRUE(reader.capacity() < 1024);
}

TEST(FrameTest, memoryIsGivenBackWhenNothingIsLeft) {
  FrameReader reader;
  consensus::Message large;
  large.body = consensus::SnapshotChunk{1, 1, 1, 0, 0, 0, std::string(1U << 20U, 'x')};
  reader.feed(transport::encodeFrame(large).value());
  CHECK_TRUE(reader.next().value().has_value());
  CHECK_FALSE(reader.next().value().has_value());
  CHECK_TRUE(reader.capacity() < 1024);
}

TEST(FrameTest, oversizedMessageIsNotEncoded) {
  consensus::Message large;
  large.body = consensus::SnapshotChunk{1, 1, 1, 0, 0, 0, std::string(5U << 20U, 'x')};
  CHECK_TRUE(transport::encodeFrame(large).error().code == ErrorCode::inputTooLarge);
}
