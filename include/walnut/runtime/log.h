#pragma once
/// @file
/// Structured log: key=value lines in a memory ring, written to the error stream on an error, a
/// crash signal or SIGUSR1. Apart from that only notices are written.

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "walnut/base/error.h"

namespace walnut::runtime {

/// One key=value pair of a log line.
struct LogField {
  std::string_view key;
  std::string value;

  LogField(std::string_view fieldKey, std::string fieldValue)
      : key(fieldKey), value(std::move(fieldValue)) {}
  LogField(std::string_view fieldKey, std::uint64_t fieldValue)
      : key(fieldKey), value(std::to_string(fieldValue)) {}
};

/// Sets up the ring (spdlog) and the crash and SIGUSR1 handlers. Must be called once, before other
/// threads start.
void initLog(const std::string& program, std::size_t ringLines = 4096);

/// Adds a line to the ring only.
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});
/// Adds a line to the ring and writes it to the error stream at once; for start, readiness and
/// shutdown.
void logNotice(std::string_view event, std::initializer_list<LogField> fields = {});
/// Adds a line to the ring and writes the ring to the error stream, this line last. The ring is
/// written at most once a second; lines held back by this limit follow with a later line.
void logError(std::string_view event, const base::Error& error,
              std::initializer_list<LogField> fields = {});
/// Writes the ring to the error stream.
void dumpLog();

}  // namespace walnut::runtime
