#pragma once
/// @file
/// Cuts a stream of server-sent events into whole events.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnut::gateway {

/// Only whole events leave it, so that a stream which breaks off within one can go on elsewhere.
class EventStream {
 public:
  /// @return the whole events that are complete now, as received; empty if none is.
  std::string feed(std::string_view bytes);

  /// Passes over events up to this id, which the caller has already.
  void skipUpTo(std::uint64_t id) { skipUpTo_ = id; }
  /// Drops a begun event.
  void restart() { partial_.clear(); }

  bool midEvent() const { return !partial_.empty(); }
  /// Id of the last event that left; empty if it had none, or none left.
  const std::string& lastId() const { return lastId_; }
  std::uint64_t eventCount() const { return eventCount_; }

 private:
  std::string partial_;
  std::string lastId_;
  std::optional<std::uint64_t> skipUpTo_;
  std::uint64_t eventCount_ = 0;
};

}  // namespace walnut::gateway
