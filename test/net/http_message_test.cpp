/// Tests of header fields.

#include "walnut/net/http_message.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut::net;

TEST_GROUP(HttpMessageTest){};

TEST(HttpMessageTest, connectionHeadersAndThoseTheyListAreRemoved) {
  HeaderList headers;
  headers.add("Connection", "keep-alive, X-Hop");
  headers.add("X-Hop", "1");
  headers.add("X-End", "2");
  headers.add("transfer-encoding", "chunked");
  removeConnectionHeaders(headers);
  CHECK_EQUAL(1, headers.all().size());
  STRCMP_EQUAL("2", headers.find("x-end")->c_str());
}

TEST(HttpMessageTest, settingReplacesAllOfThatName) {
  HeaderList headers;
  headers.add("A", "1");
  headers.add("a", "2");
  headers.set("A", "3");
  CHECK_EQUAL(1, headers.all().size());
  CHECK_EQUAL(3, *headers.findNumber("a"));
}

TEST(HttpMessageTest, valuesThatAreNotWhollyNumericAreNotNumbers) {
  HeaderList headers;
  headers.add("A", "12x");
  CHECK_FALSE(headers.findNumber("A").has_value());
  CHECK_FALSE(headers.findNumber("B").has_value());
}
