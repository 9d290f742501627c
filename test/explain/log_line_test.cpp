/// Lines of the decision log, read back.

#include "explain/log_line.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::explain;

TEST_GROUP(LogLineTest){};

TEST(LogLineTest, aLineIsReadWithItsFields) {
  const auto line = parseLogLine(
      "  3.06 host-1 time=2026-02-25T10:35:00.058Z program=walnut-registry event=order-sent "
      "order=124 adapter=\"\" reason=\"said \\\"no\\\"\\n\\x41\"");
  CHECK_TRUE(line.has_value());
  STRCMP_EQUAL("order-sent", line.value().event.c_str());
  STRCMP_EQUAL("walnut-registry", line.value().program.c_str());
  CHECK_EQUAL(124, line.value().number("order"));
  STRCMP_EQUAL("", line.value().field("adapter").c_str());
  STRCMP_EQUAL("said \"no\"\nA", line.value().field("reason").c_str());
  STRCMP_EQUAL("", line.value().field("none").c_str());
}

TEST(LogLineTest, whatIsCutShortIsNoLine) {
  const std::string whole =
      "time=2026-02-25T10:35:00.058Z program=walnut-registry event=order-sent reason=\"a b\"";
  CHECK_TRUE(parseLogLine(whole).has_value());
  CHECK_TRUE(parseLogLine(whole.substr(0, whole.size() - 1)).has_error());
  CHECK_TRUE(parseLogLine("").has_error());
  CHECK_TRUE(parseLogLine("time=2026-02-25T10:35:00.058Z program=walnut-registry").has_error());
  CHECK_TRUE(parseLogLine("time=yesterday event=order-sent").has_error());
  CHECK_TRUE(parseLogLine(whole + " rest").has_error());
}

TEST(LogLineTest, timesAreCompared) {
  const std::string early = "2026-02-25T10:35:59.900Z";
  const std::string late = "2026-02-25T10:36:00.100Z";
  CHECK_EQUAL(200, millisBetween(early, late));
  CHECK_EQUAL(-200, millisBetween(late, early));
  CHECK_EQUAL(0, millisBetween("never", late));
}
