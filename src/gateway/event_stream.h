#pragma once
/// @file
/// Splits a stream of server-sent events into whole events.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnut::gateway {

/// Parser of a stream of server-sent events. It passes on whole events only, so that a stream that
/// is cut within an event can be resumed from another worker.
class EventStream {
 public:
  /// Adds received bytes.
  /// @return the events that are complete now, as received; empty if none is.
  std::string feed(std::string_view bytes);

  /// Skips events up to this id, which the caller already has.
  void skipUpTo(std::uint64_t id) { skipUpTo_ = id; }
  /// Drops an incomplete event.
  void restart() { std::string().swap(partial_); }

  /// Bytes of the incomplete event.
  std::size_t partialSize() const { return partial_.size(); }
  bool hasPartialEvent() const { return !partial_.empty(); }
  /// Id of the last event that was passed on and had one; empty if there was none.
  const std::string& lastId() const { return lastId_; }
  std::uint64_t eventCount() const { return eventCount_; }

 private:
  std::string partial_;
  std::string lastId_;
  std::optional<std::uint64_t> skipUpTo_;
  std::uint64_t eventCount_ = 0;
};

}  // namespace walnut::gateway
