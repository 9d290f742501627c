/// Tests of ViewEncoder and ViewDecoder.

#include "walnut/registry/view_codec.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;

namespace {

WorkerView viewOf(const std::string& id, std::initializer_list<const char*> models) {
  WorkerView view;
  view.record = {{id}, "service", {"10.0.0.9", 8168}, {"zone-a"}, 12, false};
  view.holdingsKnown = true;
  for (const char* model : models) {
    view.models.push_back({model, 7, {"a1", "a2"}});
  }
  return view;
}

void checkSame(const ViewUpdate& left, const ViewUpdate& right) {
  CHECK_EQUAL(left.term, right.term);
  CHECK_EQUAL(left.complete, right.complete);
  CHECK_EQUAL(left.documentVersion, right.documentVersion);
  CHECK_EQUAL(left.gateways, right.gateways);
  CHECK_TRUE(left.changed == right.changed);
  CHECK_TRUE(left.removed == right.removed);
  CHECK_TRUE(left.servers == right.servers);
  CHECK_EQUAL(left.loads.size(), right.loads.size());
  for (std::size_t index = 0; index < left.loads.size(); ++index) {
    CHECK_TRUE(left.loads[index].worker == right.loads[index].worker);
    CHECK_EQUAL(left.loads[index].running, right.loads[index].running);
  }
}

}  // namespace

TEST_GROUP(ViewCodecTest) {
  ViewEncoder encoder;
  ViewCursor cursor;
  ViewDecoder decoder;

  ViewUpdate complete() {
    ViewUpdate view;
    view.term = 3;
    view.complete = true;
    view.documentVersion = 65;
    view.gateways = 295;
    view.changed = {viewOf("w1", {"m1", "m2"}), viewOf("w2", {})};
    view.changed[1].failing = true;
    view.loads = {{{"w1"}, {}, 9}, {{"w2"}, {}, 300}};
    view.servers = {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}};
    return view;
  }
  std::string roundTrip(const ViewUpdate& view) {
    std::string bytes = encoder.encode(view, cursor);
    auto decoded = decoder.decode(bytes);
    CHECK_TRUE(decoded.has_value());
    checkSame(view, decoded.value());
    return bytes;
  }
};

TEST(ViewCodecTest, aViewIsDecodedAsItWasEncoded) {
  roundTrip(ViewUpdate{});
  roundTrip(complete());
}

TEST(ViewCodecTest, aChangeIsDecodedWithTheRecordSentBefore) {
  roundTrip(complete());
  ViewUpdate change;
  change.changed = {viewOf("w1", {"m2", "m3"})};
  change.changed[0].silent = true;
  roundTrip(change);
  change.changed[0].record.leaving = true;
  change.removed = {{"w2"}};
  roundTrip(change);
}

/// 245 workers have some 100 changes per second, each of which is sent to 300 gateways.
TEST(ViewCodecTest, aChangeTakesFewBytes) {
  roundTrip(complete());
  ViewUpdate change;
  change.term = 3;
  change.documentVersion = 65;
  change.gateways = 295;
  change.changed = {viewOf("w1", {"m2"})};
  change.loads = {{{"w2"}, {}, 11}};
  constexpr std::size_t kMostBytes = 24;
  CHECK_TRUE(roundTrip(change).size() <= kMostBytes);
}

TEST(ViewCodecTest, namesAreSentToEachGatewaySeparately) {
  roundTrip(complete());
  ViewCursor other;
  ViewDecoder otherDecoder;
  const ViewUpdate view = complete();
  const auto decoded = otherDecoder.decode(encoder.encode(view, other));
  CHECK_TRUE(decoded.has_value());
  checkSame(view, decoded.value());
}

TEST(ViewCodecTest, aLimitIsSentToGatewaysThatSupportIt) {
  ViewUpdate view = complete();
  view.changed[0].limit = 0.25;
  cursor.acceptsLimits = true;
  roundTrip(view);
  ViewUpdate change;
  change.changed = {view.changed[0]};
  change.changed[0].limit = 1000;
  roundTrip(change);
  change.changed[0].limit.reset();
  roundTrip(change);
}

/// Builds without support for limits must get the same bytes as before.
TEST(ViewCodecTest, aGatewayOfAnEarlierBuildIsToldNothingOfLimits) {
  const ViewUpdate without = complete();
  ViewUpdate with = without;
  with.changed[0].limit = 0.25;
  ViewCursor first;
  ViewCursor second;
  ViewEncoder encoderWithout;
  ViewEncoder encoderWith;
  CHECK(encoderWithout.encode(without, first) == encoderWith.encode(with, second));
}

TEST(ViewCodecTest, aSoftwareVersionIsSentToGatewaysThatSupportIt) {
  ViewUpdate view = complete();
  view.changed[0].record.softwareVersion = "v1";
  cursor.acceptsVersions = true;
  roundTrip(view);
  ViewUpdate change;
  change.changed = {view.changed[0]};
  change.changed[0].silent = true;
  roundTrip(change);
  change.changed[0].record.slots = 3;
  roundTrip(change);
  change.changed[0].record.softwareVersion.clear();
  roundTrip(change);
}

TEST(ViewCodecTest, aViewWithVersionsThatIsCutOffIsRefused) {
  ViewUpdate view = complete();
  view.changed[0].record.softwareVersion = "v1";
  cursor.acceptsVersions = true;
  const std::string bytes = encoder.encode(view, cursor);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    ViewDecoder fresh;
    CHECK_TRUE(fresh.decode(std::string_view(bytes).substr(0, size)).has_error());
  }
}

/// Builds without support for versions must get the same bytes as before, even if another gateway
/// is sent versions.
TEST(ViewCodecTest, aGatewayOfAnEarlierBuildIsToldNothingOfVersions) {
  const ViewUpdate without = complete();
  ViewUpdate with = without;
  with.changed[0].record.softwareVersion = "v1";
  ViewCursor first;
  ViewCursor second;
  ViewEncoder encoderWithout;
  ViewEncoder encoderWith;
  cursor.acceptsVersions = true;
  (void)encoderWith.encode(with, cursor);
  const std::string bytes = encoderWith.encode(with, second);
  CHECK(encoderWithout.encode(without, first) == bytes);
  checkSame(without, decoder.decode(bytes).value());
}

TEST(ViewCodecTest, aCompleteViewResetsTheState) {
  roundTrip(complete());
  roundTrip(complete());
}

TEST(ViewCodecTest, namesAreRenumberedWhenThereAreTooMany) {
  roundTrip(complete());
  for (std::size_t number = 0; number < ViewEncoder::kMaxNames; ++number) {
    ViewUpdate change;
    change.removed = {{"gone-" + std::to_string(number)}};
    (void)decoder.decode(encoder.encode(change, cursor));
  }
  ViewUpdate change;
  change.changed = {viewOf("w1", {"m9"})};
  roundTrip(change);
}

TEST(ViewCodecTest, malformedViewsAreRefused) {
  CHECK_TRUE(decoder.decode("").has_error());
  CHECK_TRUE(decoder.decode("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff").has_error());
  const std::string bytes = encoder.encode(complete(), cursor);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    ViewDecoder fresh;
    CHECK_TRUE(fresh.decode(std::string_view(bytes).substr(0, size)).has_error());
  }
  ViewDecoder fresh;
  CHECK_TRUE(fresh.decode(bytes + "x").has_error());
}

/// A gateway that missed a view must not decode the next one as if it had received both.
TEST(ViewCodecTest, aNameThatWasNotToldIsRefused) {
  (void)encoder.encode(complete(), cursor);
  ViewUpdate change;
  change.changed = {viewOf("w1", {"m1"})};
  const auto decoded = decoder.decode(encoder.encode(change, cursor));
  CHECK_TRUE(decoded.has_error());
  CHECK_TRUE(decoded.error().code == base::ErrorCode::malformedInput);
}
