#pragma once
/// @file
/// Decision log that writes to a file descriptor.

#include <spdlog/logger.h>

#include <memory>
#include <string>

#include "walnut/base/time.h"
#include "walnut/runtime/event_log.h"

namespace walnut::runtime {

/// Buffers lines in memory up to a limit; `flush` writes as many as the descriptor accepts without
/// blocking. Owned by one thread.
class OutputLog : public EventLog {
 public:
  static constexpr std::size_t kMaxBufferedBytes = 256U << 10U;

  /// @param program name of the program, shown in each line.
  OutputLog(const std::string& program, int descriptor);
  ~OutputLog() override;
  OutputLog(const OutputLog&) = delete;
  OutputLog& operator=(const OutputLog&) = delete;

  void write(LogEvent event, std::initializer_list<EventField> fields) override;
  /// Flushes if much is buffered or the last flush was some time ago.
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
