/// The story of a request from the logs of several processes.

#include "explain/request_story.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::explain;

TEST_GROUP(RequestStoryTest) {
  std::vector<LogLine> lines;
  RequestStory story{"r1"};

  void log(const std::string& second, const std::string& rest) {
    lines.push_back(
        parseLogLine("time=2026-01-01T00:00:" + second + ".000Z program=p " + rest).value());
  }
  std::vector<std::string> told() {
    for (const LogLine& line : lines) {
      story.takeOwn(line);
    }
    for (const LogLine& line : lines) {
      story.takeBelief(line);
    }
    std::vector<std::string> events;
    for (const LogLine& line : story.lines()) {
      events.push_back(line.event);
    }
    return events;
  }
};

TEST(RequestStoryTest, beliefsThatMatteredStandBesideIt) {
  log("20", "event=request-waiting request=r1 model=m");
  log("23", "event=attempt-started request=r1 worker=w1");
  log("25", "event=request-ended request=r1 model=m");
  log("21", "event=order-sent model=m operation=load worker=w1");
  log("21", "event=order-sent model=other operation=load worker=w1");
  log("24", "event=worker-silent worker=w1");
  log("24", "event=worker-silent worker=w2");
  log("22", "event=role-changed role=leader");
  const std::vector<std::string> events = told();
  CHECK_TRUE(events ==
             std::vector<std::string>({"request-waiting", "order-sent", "role-changed",
                                       "attempt-started", "worker-silent", "request-ended"}));
}

TEST(RequestStoryTest, whatIsFarAwayInTimeDidNotMatter) {
  log("30", "event=request-ended request=r1 model=m");
  log("05", "event=order-sent model=m");
  log("45", "event=order-sent model=m");
  CHECK_EQUAL(1, told().size());
}

TEST(RequestStoryTest, ofACutRequestItSaysWhatElseItsWorkerHadAndWhatItDidBefore) {
  log("01", "event=request-cut request=r0 worker=w7 digest=d");
  log("30", "event=attempt-started request=r1 worker=w1");
  log("31", "event=request-cut request=r1 worker=w1 digest=d");
  log("31", "event=request-cut request=r5 worker=w1 digest=e");
  log("31", "event=request-cut request=r6 worker=w2 digest=e");
  const std::vector<std::string> events = told();
  CHECK_EQUAL(4, events.size());
  STRCMP_EQUAL("r0", story.lines()[0].field("request").c_str());
  STRCMP_EQUAL("r5", story.lines()[3].field("request").c_str());
}

TEST(RequestStoryTest, anUnknownRequestIsNotFound) {
  log("30", "event=request-ended request=r2 model=m");
  CHECK_TRUE(told().empty());
  CHECK_FALSE(story.found());
}
