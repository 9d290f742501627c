#include "walnut/runtime/log.h"

#include <pthread.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/ringbuffer_sink.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <memory>
#include <mutex>
#include <thread>

#include "runtime/log_fields.h"
#include "walnut/runtime/clock.h"

namespace walnut::runtime {

namespace {

constexpr base::Duration kDumpInterval = std::chrono::seconds(1);
constexpr std::size_t kDefaultRingLines = 4096;
/// Time limit of a crash handler: one that blocks (for example on the heap's lock) is ended by
/// SIGALRM.
constexpr unsigned kCrashDumpSeconds = 2;
constexpr std::array kCrashSignals = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
constexpr const char* kPattern =
    "time=%Y-%m-%dT%H:%M:%S.%fZ level=%l program=%n pid=%P thread=%t %v";

void writeToErrorStream(std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = ::write(STDERR_FILENO, text.data(), text.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return;
    }
    text.remove_prefix(static_cast<std::size_t>(written));
  }
}

/// Ring of log lines that tracks which of them have been dumped. Every use of the sink holds
/// `mutex_`, so that a crash handler which acquires the mutex can also use the sink.
class Ring {
 public:
  Ring(const std::string& program, std::size_t lines)
      : capacity_(std::max<std::size_t>(lines, 1)),
        sink_(std::make_shared<spdlog::sinks::ringbuffer_sink_mt>(capacity_)),
        logger_(program, sink_) {
    logger_.set_level(spdlog::level::debug);
    logger_.set_formatter(
        std::make_unique<spdlog::pattern_formatter>(kPattern, spdlog::pattern_time_type::utc));
  }

  void add(spdlog::level::level_enum level, const std::string& line) {
    const std::lock_guard lock(mutex_);
    append(level, line);
    dumpIfOverdue();
  }

  void addAndWrite(const std::string& line) {
    const std::lock_guard lock(mutex_);
    append(spdlog::level::info, line);
    for (const std::string& formatted : sink_->last_formatted(1)) {
      writeToErrorStream(formatted);
    }
    dumpIfOverdue();
  }

  void addAndDump(const std::string& line) {
    const std::lock_guard lock(mutex_);
    append(spdlog::level::err, line);
    dumpOverdue_ = true;
    dumpIfOverdue();
  }

  void dump() {
    const std::lock_guard lock(mutex_);
    dumpLocked();
  }

  void dumpFromCrash() {
    const std::unique_lock lock(mutex_, std::try_to_lock);
    if (lock.owns_lock()) {
      dumpLocked();
    }
  }

 private:
  void append(spdlog::level::level_enum level, const std::string& line) {
    logger_.log(level, spdlog::string_view_t(line));
    ++undumpedLines_;
  }

  void dumpIfOverdue() {
    if (dumpOverdue_ && now() >= nextDump_) {
      dumpLocked();
    }
  }

  /// Writes the lines that no earlier dump has written. The caller holds `mutex_`.
  void dumpLocked() {
    const std::size_t lines = std::min(undumpedLines_, capacity_);
    if (lines > 0) {
      for (const std::string& formatted : sink_->last_formatted(lines)) {
        writeToErrorStream(formatted);
      }
    }
    undumpedLines_ = 0;
    dumpOverdue_ = false;
    nextDump_ = now() + kDumpInterval;
  }

  const std::size_t capacity_;
  std::shared_ptr<spdlog::sinks::ringbuffer_sink_mt> sink_;
  spdlog::logger logger_;
  std::mutex mutex_;
  std::size_t undumpedLines_ = 0;
  bool dumpOverdue_ = false;
  base::TimePoint nextDump_ = base::TimePoint::min();
};

/// Never destroyed: threads and signal handlers may log until the very end of the process.
std::unique_ptr<Ring>& ringHolder() {
  static auto& holder =
      *new std::unique_ptr<Ring>(std::make_unique<Ring>("walnut", kDefaultRingLines));
  return holder;
}

Ring& ring() { return *ringHolder(); }

void onCrash(int signalNumber) {
  std::signal(SIGALRM, SIG_DFL);
  alarm(kCrashDumpSeconds);
  constexpr std::string_view kCrashNotice = "level=critical event=crash\n";
  writeToErrorStream(kCrashNotice);
  ring().dumpFromCrash();
  // The handler was reset on entry (SA_RESETHAND): the default action ends the process.
  raise(signalNumber);
}

void installCrashHandlers() {
  struct sigaction action {};
  action.sa_handler = onCrash;
  action.sa_flags = static_cast<int>(SA_RESETHAND);
  sigemptyset(&action.sa_mask);
  for (const int signalNumber : kCrashSignals) {
    sigaction(signalNumber, &action, nullptr);
  }
}

/// Starts the thread that dumps the ring on SIGUSR1. The signal is blocked in all threads and this
/// one waits for it, so that the dump runs as ordinary code and not inside a signal handler.
void startDumpThread() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread([signals] {
    int signalNumber = 0;
    while (sigwait(&signals, &signalNumber) == 0) {
      dumpLog();
    }
  }).detach();
}

std::string formatLine(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = "event=";
  line += event;
  for (const LogField& field : fields) {
    appendField(line, field.key, field.value);
  }
  return line;
}

}  // namespace

void initLog(const std::string& program, std::size_t ringLines) {
  ringHolder() = std::make_unique<Ring>(program, ringLines);
  installCrashHandlers();
  startDumpThread();
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields) {
  ring().add(spdlog::level::debug, formatLine(event, fields));
}

void logNotice(std::string_view event, std::initializer_list<LogField> fields) {
  ring().addAndWrite(formatLine(event, fields));
}

void logError(std::string_view event, const base::Error& error,
              std::initializer_list<LogField> fields) {
  std::string line = formatLine(event, fields);
  appendField(line, "error", base::errorCodeName(error.code));
  appendField(line, "field", error.field);
  appendField(line, "detail", error.detail);
  ring().addAndDump(line);
}

void dumpLog() { ring().dump(); }

}  // namespace walnut::runtime
