/// Tests of unexpected errors of an event loop.

#include "daemon/guarded_run.h"

#include <stdexcept>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::daemon;

namespace {

struct RecordingLog : runtime::EventLog {
  std::vector<runtime::LogEvent> events;
  void write(runtime::LogEvent event, std::initializer_list<runtime::EventField>) override {
    events.push_back(event);
  }
};

struct Host {
  bool fails = false;
  void run() const {
    if (fails) {
      throw std::runtime_error("poll");
    }
  }
};

}  // namespace

TEST_GROUP(GuardedRunTest) { RecordingLog log; };

// Guards against an unexpected error that ends the process without a log line.
TEST(GuardedRunTest, anUnexpectedErrorEndsTheLoopWithALogLine) {
  Host host{true};
  CHECK_FALSE(runGuarded(host, log));
  CHECK_TRUE(log.events == std::vector<runtime::LogEvent>{runtime::LogEvent::processStopped});
}

TEST(GuardedRunTest, aLoopThatEndsIsNoError) {
  Host host;
  CHECK_TRUE(runGuarded(host, log));
  CHECK_TRUE(log.events.empty());
}

// Guards against an error of a storage thread that ends the process.
TEST(GuardedRunTest, anUnexpectedErrorOfACallIsAResult) {
  const auto failed =
      callGuarded("persist", []() -> base::Result<void> { throw std::runtime_error("disk"); });
  CHECK_TRUE(failed.error().code == base::ErrorCode::internal);
  STRCMP_EQUAL("persist", failed.error().field.c_str());
  CHECK_TRUE(
      callGuarded("persist", [] { return base::Result<void>(base::success()); }).has_value());
}
