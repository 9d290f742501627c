/// Compatibility tests with bytes recorded from the builds of commits 53bb35c and 54aa6e6: this
/// build encodes the same bytes for them and decodes theirs.

#include <string>

#include "walnut/protocol/codec.h"
#include "walnut/registry/view_codec.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;

namespace {

constexpr const char* kQuotaRequest =
    "0c0000000f00000005000000000000000100000000000000010000000000000074000000000000f03f00"
    "00000000000040000000000000084000000000000010400000000000001440";
constexpr const char* kQuotaGrant =
    "0c0000001000000005000000000000000100000000000000010000000000000074000000000000f83f90"
    "d0030000000000";
constexpr const char* kViewUpdate =
    "0c0000000600000003000000000000000141000000000000000100000000000000020000000000000077"
    "310300000000000000737663080000000000000031302e302e302e39e81f06000000000000007a6f6e65"
    "2d610c000000000100000000000000771100000000000000000101010000000000000002000000000000"
    "006d31070000000000000001000000000000000200000000000000613101000000000000000200000000"
    "000000773001000000000000000200000000000000773100000000000000000900000027010000010000"
    "0000000000080000000000000031302e302e302e31581b";
constexpr const char* kPackedView =
    "0c0000000a0000004e00000000000000030600027731010373766302067a6f6e652d6103026d31040261"
    "31050277300341a70201000d010831302e302e302e39e83f020c00017711010307010401050100090108"
    "31302e302e302e31d836";

std::string hexadecimal(const std::string& bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr unsigned kHalf = 4;
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text.push_back(kDigits[value >> kHalf]);
    text.push_back(kDigits[value & 0xfU]);
  }
  return text;
}

std::string bytesOf(const std::string& text) {
  constexpr int kBase = 16;
  std::string bytes;
  for (std::size_t place = 0; place < text.size(); place += 2) {
    bytes.push_back(static_cast<char>(std::stoi(text.substr(place, 2), nullptr, kBase)));
  }
  return bytes;
}

std::string encoded(MessageBody body) {
  return hexadecimal(protocol::encodeMessage(RegistryMessage{std::move(body)}));
}

ViewUpdate view() {
  WorkerView worker;
  worker.record = {{"w1"}, "svc", {"10.0.0.9", 8168}, {"zone-a"}, 12, false, "w", 17};
  worker.failing = true;
  worker.holdingsKnown = true;
  worker.models = {{"m1", 7, {"a1"}}};
  ViewUpdate update;
  update.term = 3;
  update.complete = true;
  update.documentVersion = 65;
  update.gateways = 295;
  update.changed = {worker};
  update.removed = {{"w0"}};
  update.loads = {{{"w1"}, {}, 9}};
  update.servers = {{"10.0.0.1", 7000}};
  return update;
}

}  // namespace

TEST_GROUP(RecordedMessagesTest){
    /// Checks that the message is decoded, and encoded to the same bytes again.
    static void checkRead(const char* recorded){
        const auto message = protocol::decodeMessage(bytesOf(recorded));
CHECK_TRUE(message.has_value());
STRCMP_EQUAL(recorded, hexadecimal(protocol::encodeMessage(message.value())).c_str());
}
}
;

TEST(RecordedMessagesTest, messagesOfEarlierBuildsAreDecoded) {
  for (const char* recorded : {kQuotaRequest, kQuotaGrant, kViewUpdate, kPackedView}) {
    checkRead(recorded);
  }
}

TEST(RecordedMessagesTest, messagesForEarlierBuildsAreEncodedAsBefore) {
  STRCMP_EQUAL(kQuotaRequest, encoded(QuotaRequest{5, {{"t", 1, 2, 3, 4, 5}}}).c_str());
  STRCMP_EQUAL(kQuotaGrant,
               encoded(QuotaGrant{5, {{"t", 1.5, std::chrono::milliseconds(250)}}}).c_str());
  STRCMP_EQUAL(kViewUpdate, encoded(view()).c_str());
}

/// The limit of a worker is not sent to a gateway that has not announced support for it.
TEST(RecordedMessagesTest, aViewForAnEarlierBuildIsEncodedAsBefore) {
  ViewUpdate update = view();
  update.changed[0].limit = 2;
  ViewEncoder encoder;
  ViewCursor cursor;
  STRCMP_EQUAL(kPackedView, encoded(PackedView{encoder.encode(update, cursor)}).c_str());
}
