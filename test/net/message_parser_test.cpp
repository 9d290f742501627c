/// Tests of the parser with messages that are whole, split at any byte, or malformed.

#include "net/message_parser.h"

#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::net;

namespace {

constexpr std::size_t kMaxHead = 1024;

struct Collected : MessageParserCallbacks {
  std::vector<MessageHead> heads;
  std::string body;
  int complete = 0;
  void onHead(MessageHead head) override { heads.push_back(std::move(head)); }
  void onBody(std::string_view bytes) override { body.append(bytes); }
  void onComplete() override { ++complete; }
};

/// Feeds the whole text to the parser in pieces of `size` bytes.
base::Result<void> feedAll(MessageParser& parser, std::string_view text, std::size_t size) {
  while (!text.empty()) {
    std::string_view piece = text.substr(0, size);
    text.remove_prefix(piece.size());
    while (!piece.empty()) {
      BOOST_OUTCOME_TRY(taken, parser.feed(piece));
      piece.remove_prefix(taken);
    }
  }
  return base::success();
}

}  // namespace

TEST_GROUP(MessageParserTest) { Collected collected; };

TEST(MessageParserTest, aRequestIsParsedTheSameWhereverItIsSplit) {
  const std::string text =
      "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n";
  for (std::size_t size = 1; size <= text.size(); ++size) {
    Collected cut;
    MessageParser parser(MessageParser::Kind::request, kMaxHead, cut);
    CHECK_TRUE(feedAll(parser, text, size).has_value());
    CHECK_EQUAL(1, cut.complete);
    STRCMP_EQUAL("/a/b?c=d", cut.heads.at(0).target.c_str());
    STRCMP_EQUAL("abcdef", cut.body.c_str());
  }
}

TEST(MessageParserTest, feedStopsAtTheEndOfAMessage) {
  MessageParser parser(MessageParser::Kind::request, kMaxHead, collected);
  const std::string one = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string both = one + "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
  const auto taken = parser.feed(both);
  CHECK_EQUAL(one.size(), taken.value());
  CHECK_EQUAL(1, collected.complete);
}

TEST(MessageParserTest, aRequestWithTwoLengthsIsRefused) {
  MessageParser parser(MessageParser::Kind::request, kMaxHead, collected);
  const auto outcome = feedAll(parser,
                               "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                               1000);
  CHECK_TRUE(outcome.has_error());
  CHECK_TRUE(outcome.error().code == base::ErrorCode::malformedInput);
}

TEST(MessageParserTest, aHeadOverTheLimitIsRefused) {
  MessageParser parser(MessageParser::Kind::request, kMaxHead, collected);
  const std::string text = "GET / HTTP/1.1\r\nX: " + std::string(2 * kMaxHead, 'x');
  const auto outcome = feedAll(parser, text, 100);
  CHECK_TRUE(outcome.has_error());
  CHECK_TRUE(outcome.error().code == base::ErrorCode::inputTooLarge);
}

/// Guards against fields of a few bytes each, which take far more memory than their bytes.
TEST(MessageParserTest, aHeadOfTooManyFieldsIsRefused) {
  MessageParser parser(MessageParser::Kind::response, 64U << 10U, collected);
  std::string text = "HTTP/1.1 200 OK\r\n";
  for (int field = 0; field < 2000; ++field) {
    text += "a: b\r\n";
  }
  const auto outcome = feedAll(parser, text, 100);
  CHECK_TRUE(outcome.has_error());
  CHECK_TRUE(outcome.error().code == base::ErrorCode::inputTooLarge);
}

TEST(MessageParserTest, aResponseWithoutLengthEndsWithItsConnection) {
  MessageParser parser(MessageParser::Kind::response, kMaxHead, collected);
  CHECK_TRUE(feedAll(parser, "HTTP/1.1 200 OK\r\n\r\nabc", 7).has_value());
  CHECK_EQUAL(0, collected.complete);
  CHECK_FALSE(collected.heads.at(0).framed);
  CHECK_TRUE(parser.feedEnd().has_value());
  CHECK_EQUAL(1, collected.complete);
}

TEST(MessageParserTest, aTruncatedResponseIsNotComplete) {
  MessageParser parser(MessageParser::Kind::response, kMaxHead, collected);
  CHECK_TRUE(feedAll(parser, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 7).has_value());
  CHECK_TRUE(parser.feedEnd().has_error());
  CHECK_EQUAL(0, collected.complete);
}

TEST(MessageParserTest, anAnswerToHeadHasNoBody) {
  MessageParser parser(MessageParser::Kind::response, kMaxHead, collected);
  parser.expectNoBody();
  CHECK_TRUE(feedAll(parser, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 100).has_value());
  CHECK_EQUAL(1, collected.complete);
}

TEST(MessageParserTest, protocolUpgradesAreIgnored) {
  MessageParser parser(MessageParser::Kind::request, kMaxHead, collected);
  CHECK_TRUE(feedAll(parser,
                     "POST / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: other\r\n"
                     "Content-Length: 2\r\n\r\nab",
                     1000)
                 .has_value());
  CHECK_EQUAL(1, collected.complete);
  STRCMP_EQUAL("ab", collected.body.c_str());
}
