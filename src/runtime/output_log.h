#pragma once
/// @file
/// The decision log on a file descriptor.

#include <spdlog/logger.h>

#include <memory>
#include <string>

#include "walnut/base/time.h"
#include "walnut/runtime/event_log.h"

namespace walnut::runtime {

/// Lines wait in memory, up to a bound, and are written by `flush` as far as the descriptor takes
/// them without blocking. Owned by one thread.
class OutputLog : public EventLog {
 public:
  static constexpr std::size_t kMaxBufferedBytes = 256U << 10U;

  /// @param program named in each line.
  OutputLog(const std::string& program, int descriptor);
  ~OutputLog() override;
  OutputLog(const OutputLog&) = delete;
  OutputLog& operator=(const OutputLog&) = delete;

  void write(LogEvent event, std::initializer_list<EventField> fields) override;
  /// Writes what waits, if there is much of it or the last time is a while ago.
  void flushIfDue(base::TimePoint now);
  void flush();
  std::uint64_t droppedLines() const { return dropped_; }

 private:
  class Buffer;

  const int descriptor_;
  std::shared_ptr<Buffer> buffer_;
  spdlog::logger logger_;
  base::TimePoint lastFlush_;
  std::uint64_t dropped_ = 0;
  std::uint64_t droppedTold_ = 0;
};

}  // namespace walnut::runtime
