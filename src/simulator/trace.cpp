#include "simulator/trace.h"

#include <cstdio>
#include <utility>

namespace walnut::simulator {

namespace {
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr std::int64_t kEpochMicros = 1'767'225'600'000'000;
}  // namespace

std::string formatTime(base::TimePoint at) {
  const double seconds = static_cast<double>(base::toMicros(at) - kEpochMicros) / 1e6;
  char buffer[32];
  std::snprintf(buffer, sizeof(buffer), "%11.6f", seconds);
  return buffer;
}

void Trace::mix(base::TimePoint at, std::uint64_t value) {
  hash_ = (hash_ ^ static_cast<std::uint64_t>(base::toMicros(at))) * kFnvPrime;
  hash_ = (hash_ ^ value) * kFnvPrime;
}

void Trace::mix(base::TimePoint at, std::string_view text) {
  mix(at, text.size());
  for (const char character : text) {
    hash_ = (hash_ ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
}

void Trace::event(base::TimePoint at, std::string_view subject, std::string_view text) {
  mix(at, subject);
  mix(at, text);
  std::string line = formatTime(at);
  line.append("  ").append(subject).append("  ").append(text);
  lines_.push_back(std::move(line));
  if (!keepAll_ && lines_.size() > kKeptEvents) {
    lines_.pop_front();
  }
}

void Trace::markFailure() {
  if (failureLines_.empty()) {
    failureLines_.assign(lines_.begin(), lines_.end());
  }
}

}  // namespace walnut::simulator
