#include "walnut/runtime/log.h"

#include <CppUTest/TestHarness.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace walnut;

namespace {

/// Redirects the error stream into a pipe for the lifetime of the object.
class CapturedErrorStream {
 public:
  CapturedErrorStream() : saved_(dup(STDERR_FILENO)) {
    CHECK_EQUAL(0, pipe(ends_.data()));
    dup2(ends_[1], STDERR_FILENO);
  }
  ~CapturedErrorStream() {
    restore();
    close(ends_[0]);
  }
  CapturedErrorStream(const CapturedErrorStream&) = delete;
  CapturedErrorStream& operator=(const CapturedErrorStream&) = delete;

  /// Ends the redirection.
  /// @return everything that was written.
  std::string finish() {
    restore();
    return readUntil("");
  }

  /// Blocks until `end` has been written or, if `end` is empty, until the pipe is closed.
  /// @return the text that was read.
  std::string readUntil(const std::string& end) {
    std::string text;
    std::array<char, 4096> buffer{};
    while (end.empty() || text.find(end) == std::string::npos) {
      const ssize_t count = read(ends_[0], buffer.data(), buffer.size());
      if (count <= 0) {
        break;
      }
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

 private:
  void restore() {
    if (saved_ >= 0) {
      dup2(saved_, STDERR_FILENO);
      close(saved_);
      close(ends_[1]);
      saved_ = -1;
    }
  }

  int saved_;
  std::array<int, 2> ends_{};
};

bool contains(const std::string& text, const char* part) {
  return text.find(part) != std::string::npos;
}

const base::Error kError = {base::ErrorCode::timedOut, "peer", "no answer"};

}  // namespace

/// All tests share one ring, emptied before each test; the handlers are set up once, as in a
/// program.
TEST_GROUP(LogTest){void setup() override{static const bool kStarted = [] {
  runtime::initLog("walnut-example", 3);
  return true;
}();
CHECK_TRUE(kStarted);
CapturedErrorStream errorStream;
runtime::dumpLog();
}
}
;

TEST(LogTest, eventsStayInTheRingUntilADump) {
  CapturedErrorStream errorStream;
  runtime::logEvent("first");
  runtime::logEvent("second", {{"size", 5}});
  runtime::logNotice("ready", {{"port", 80}});
  runtime::dumpLog();
  const std::string text = errorStream.finish();
  CHECK_TRUE(contains(text, "program=walnut-example"));
  const std::size_t ready = text.find("event=ready port=80\n");
  const std::size_t first = text.find("event=first\n");
  CHECK_TRUE(ready < first);  // The notice is written at once, the event only by the dump.
  CHECK_TRUE(contains(text, "event=second size=5\n"));
}

TEST(LogTest, ringKeepsTheNewestLinesAndDumpsEachOnce) {
  CapturedErrorStream errorStream;
  for (std::uint64_t index = 1; index <= 5; ++index) {
    runtime::logEvent("numbered", {{"index", index}});
  }
  runtime::dumpLog();
  runtime::dumpLog();
  const std::string text = errorStream.finish();
  CHECK_FALSE(contains(text, "index=2\n"));
  CHECK_TRUE(contains(text, "index=3\n"));
  LONGS_EQUAL(text.find("index=5\n"), text.rfind("index=5\n"));
}

TEST(LogTest, valuesAreQuotedWhereNeeded) {
  CapturedErrorStream errorStream;
  runtime::logEvent("quoted", {{"empty", ""}, {"text", "a \"b\"\n\x01="}, {"plain", "x-1.y/z"}});
  runtime::dumpLog();
  STRCMP_CONTAINS(R"(event=quoted empty="" text="a \"b\"\n\x01=" plain=x-1.y/z)",
                  errorStream.finish().c_str());
}

TEST(LogTest, errorWithinASecondOfADumpWaitsInTheRing) {
  CapturedErrorStream errorStream;
  runtime::dumpLog();
  runtime::logError("too-soon", kError);
  const std::string before = errorStream.finish();
  CapturedErrorStream later;
  runtime::dumpLog();
  STRCMP_CONTAINS("event=too-soon error=timed_out field=peer detail=\"no answer\"",
                  (before + later.finish()).c_str());
}

TEST(LogTest, userSignalDumpsTheRing) {
  CapturedErrorStream errorStream;
  runtime::logEvent("before-signal");
  kill(getpid(), SIGUSR1);
  STRCMP_CONTAINS("event=before-signal", errorStream.readUntil("event=before-signal").c_str());
}
