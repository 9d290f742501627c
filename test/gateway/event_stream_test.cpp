/// Tests of splitting a stream of bytes into whole events.

#include "gateway/event_stream.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut::gateway;

TEST_GROUP(EventStreamTest) { EventStream stream; };

TEST(EventStreamTest, eventsArePassedOnWholeForAnyFragmentation) {
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  for (std::size_t size = 1; size <= text.size(); ++size) {
    EventStream cut;
    std::string out;
    for (std::size_t begin = 0; begin < text.size(); begin += size) {
      out += cut.feed(std::string_view(text).substr(begin, size));
    }
    STRCMP_EQUAL(text.c_str(), out.c_str());
    STRCMP_EQUAL("2", cut.lastId().c_str());
    CHECK_FALSE(cut.hasPartialEvent());
  }
}

TEST(EventStreamTest, anIncompleteEventIsHeldBack) {
  STRCMP_EQUAL("id: 1\n\n", stream.feed("id: 1\n\nid: 2\nda").c_str());
  CHECK_TRUE(stream.hasPartialEvent());
  stream.restart();
  CHECK_FALSE(stream.hasPartialEvent());
  STRCMP_EQUAL("1", stream.lastId().c_str());
}

TEST(EventStreamTest, eventsThatTheCallerHasAreSkipped) {
  stream.skipUpTo(2);
  STRCMP_EQUAL("id: 3\n\n", stream.feed("id: 1\n\nid: 2\n\nid: 3\n\n").c_str());
}

TEST(EventStreamTest, linesMayEndWithCarriageReturns) {
  STRCMP_EQUAL("id: 7\r\ndata: x\r\n\r\n", stream.feed("id: 7\r\ndata: x\r\n\r\n").c_str());
  STRCMP_EQUAL("7", stream.lastId().c_str());
}
