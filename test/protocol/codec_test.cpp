#include "walnut/protocol/codec.h"

#include <CppUTest/TestHarness.h>

#include "walnut/base/random.h"
#include "walnut/consensus/codec.h"

using namespace walnut;

namespace {

protocol::Message sampleDelta() {
  protocol::WatchDelta delta;
  delta.fromIndex = 7;
  delta.toIndex = 9;
  resource::Resource resource;
  resource.key = {resource::Kind::model, "finnish-hints"};
  resource.version = 9;
  resource.spec = resource::ModelSpec{"v1", "pool", "budget", 0, 2};
  delta.changes.emplace_back(protocol::ResourceChanged{resource});
  return delta;
}

}  // namespace

TEST_GROUP(Codec){};

TEST(Codec, messageSurvivesRoundTrip) {
  const std::string bytes = protocol::encodeMessage(sampleDelta());
  const auto decoded = protocol::decodeMessage(bytes);
  CHECK_TRUE(decoded.has_value());
  CHECK_TRUE(protocol::encodeMessage(decoded.value()) == bytes);
  const auto& delta = std::get<protocol::WatchDelta>(decoded.value());
  const auto& changed = std::get<protocol::ResourceChanged>(delta.changes.at(0));
  STRCMP_EQUAL("finnish-hints", changed.resource.key.name.c_str());
}

TEST(Codec, everyTruncationIsATypedError) {
  const std::string bytes = protocol::encodeMessage(sampleDelta());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    const auto decoded = protocol::decodeMessage(std::string_view(bytes).substr(0, length));
    CHECK_TRUE(decoded.has_error());
    CHECK_TRUE(decoded.error().code == base::ErrorCode::malformedInput);
  }
}

TEST(Codec, anySingleByteChangeIsDecodedOrRefusedButNeverThrows) {
  const std::string bytes = protocol::encodeMessage(sampleDelta());
  base::Random random(1);
  for (std::size_t position = 0; position < bytes.size(); ++position) {
    std::string damaged = bytes;
    damaged[position] = static_cast<char>(random.uniform(0, 255));
    (void)protocol::decodeMessage(damaged);
  }
}

TEST(Codec, oversizedFrameIsRefusedBeforeDecoding) {
  const std::string bytes(protocol::kMaxFrameBytes + 1, '\0');
  const auto decoded = protocol::decodeMessage(bytes);
  CHECK_TRUE(decoded.has_error());
  CHECK_TRUE(decoded.error().code == base::ErrorCode::inputTooLarge);
}

TEST(Codec, falseContainerSizeAllocatesNothing) {
  consensus::Membership membership;
  std::string bytes = consensus::encodeMembership(membership);
  for (std::size_t position = 0; position < 7; ++position) {
    bytes[position] = '\x7f';
  }
  const auto decoded = consensus::decodeMembership(bytes);
  CHECK_TRUE(decoded.has_error());
}

/// Builds without feature levels accept exactly these bytes and nothing after them.
TEST(Codec, helloWithoutFeatureLevelKeepsItsFormat) {
  protocol::Hello hello;
  hello.id = 7;
  hello.zone = {"zone"};
  const std::string bytes = protocol::encodeMessage(hello);
  hello.featureLevel = 3;
  const std::string withLevel = protocol::encodeMessage(hello);
  CHECK_EQUAL(bytes.size() + 2, withLevel.size());
  const auto read = std::get<protocol::Hello>(protocol::decodeMessage(bytes).value());
  CHECK_EQUAL(0, read.featureLevel);
  STRCMP_EQUAL("zone", read.zone.value.c_str());
}

TEST(Codec, helloRoundTripKeepsFeatureLevel) {
  protocol::Hello hello;
  hello.zone = {"zone"};
  hello.featureLevel = 12;
  const auto read =
      std::get<protocol::Hello>(protocol::decodeMessage(protocol::encodeMessage(hello)).value());
  CHECK_EQUAL(12, read.featureLevel);
  STRCMP_EQUAL("zone", read.zone.value.c_str());
}

TEST(Codec, unreadableFeatureLevelIsZero) {
  protocol::Hello hello;
  hello.zone = {"zone\n12x"};
  const auto read =
      std::get<protocol::Hello>(protocol::decodeMessage(protocol::encodeMessage(hello)).value());
  CHECK_EQUAL(0, read.featureLevel);
  STRCMP_EQUAL("zone", read.zone.value.c_str());
}
