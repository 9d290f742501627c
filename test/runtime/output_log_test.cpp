/// Tests of the decision log when it writes to a pipe.

#include "runtime/output_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>

// Included last, as it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::runtime;

TEST_GROUP(OutputLogTest) {
  int ends[2] = {-1, -1};

  void setup() override {
    CHECK_EQUAL(0, ::pipe(ends));
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  }
  void teardown() override {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string readAll() {
    std::string text;
    std::array<char, 4096> buffer{};
    while (true) {
      const ssize_t count = ::read(ends[0], buffer.data(), buffer.size());
      if (count <= 0) {
        return text;
      }
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
};

TEST(OutputLogTest, lineContainsEventAndFields) {
  OutputLog log("program", ends[1]);
  log.write(LogEvent::workerSilent, {{"worker", "i-1"}, {"reason", "two words"}});
  log.flush();
  const std::string text = readAll();
  CHECK(text.find(" program=program event=worker-silent worker=i-1 reason=\"two words\"\n") !=
        std::string::npos);
}

TEST(OutputLogTest, bytesThatAreNotTextAreEscaped) {
  OutputLog log("program", ends[1]);
  log.write(LogEvent::documentRefused, {{"detail", "byte \xff"}});
  log.flush();
  CHECK(readAll().find("detail=\"byte \\xff\"") != std::string::npos);
}

TEST(OutputLogTest, stalledReaderCausesDroppedLinesWithoutBlocking) {
  OutputLog log("program", ends[1]);
  const std::string filler(1000, 'x');
  for (int line = 0; line < 2000; ++line) {
    log.write(LogEvent::workerSilent, {{"worker", filler}});
    log.flush();
  }
  CHECK_TRUE(log.droppedLines() > 0);
  (void)readAll();
  for (int round = 0; round < 20; ++round) {
    log.flush();
    if (readAll().find("event=lines-dropped") != std::string::npos) {
      return;
    }
  }
  FAIL("the number of dropped lines was not logged");
}

TEST(OutputLogTest, everyEventHasAName) {
  CHECK_TRUE(logEventName(LogEvent::processStarted) == "process-started");
  CHECK_TRUE(logEventName(LogEvent::requestEnded) == "request-ended");
  CHECK_TRUE(logEventName(LogEvent::requestLeft) == "request-left");
}
