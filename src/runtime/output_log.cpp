#include "runtime/output_log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "runtime/log_fields.h"

namespace walnut::runtime {

namespace {

constexpr const char* kPattern = "time=%Y-%m-%dT%H:%M:%S.%eZ program=%n %v";
/// Number of bytes that a writable pipe accepts without blocking (PIPE_BUF).
constexpr std::size_t kWriteChunkBytes = 4096;
constexpr std::size_t kFlushBytes = 2048;
constexpr base::Duration kFlushInterval = std::chrono::milliseconds(200);

bool isWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

/// Formatted lines that have not been written yet.
class OutputLog::Buffer : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  std::string text;

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    text.append(formatted.data(), formatted.size());
  }
  void flush_() override {}
};

OutputLog::OutputLog(const std::string& program, int descriptor)
    : descriptor_(descriptor), buffer_(std::make_shared<Buffer>()), logger_(program, buffer_) {
  logger_.set_formatter(
      std::make_unique<spdlog::pattern_formatter>(kPattern, spdlog::pattern_time_type::utc));
}

OutputLog::~OutputLog() { flush(); }

void OutputLog::write(LogEvent event, std::initializer_list<EventField> fields) {
  if (buffer_->text.size() >= kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  std::string line = "event=";
  line += logEventName(event);
  for (const EventField& field : fields) {
    appendField(line, field.key, field.value);
  }
  logger_.info(spdlog::string_view_t(line));
}

void OutputLog::flushIfDue(base::TimePoint now) {
  if (buffer_->text.empty()) {
    return;
  }
  if (buffer_->text.size() >= kFlushBytes || now >= lastFlush_ + kFlushInterval) {
    lastFlush_ = now;
    flush();
  }
}

void OutputLog::flush() {
  std::string& text = buffer_->text;
  std::size_t written = 0;
  while (written < text.size() && isWritable(descriptor_)) {
    const std::size_t chunk = std::min(kWriteChunkBytes, text.size() - written);
    const ssize_t count = ::write(descriptor_, text.data() + written, chunk);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  text.erase(0, written);
  const std::uint64_t dropped = dropped_;
  if (dropped > droppedTold_ && text.size() < kMaxBufferedBytes) {
    write(LogEvent::linesDropped, {{"count", dropped - droppedTold_}});
    droppedTold_ = dropped;
  }
}

}  // namespace walnut::runtime
