#pragma once
/// @file
/// The events of one stream that a client of a soak has received, over all its tries.

#include <cstdint>
#include <set>
#include <string>

namespace walnut::rehearsal {

/// Events as stand-in workers write them: "id: N", "data: part N of VERSION". Only whole events
/// count.
class SoakStream {
 public:
  /// Takes what one try brought.
  /// @param request id of the try.
  /// @return what is wrong with its events; empty if nothing is.
  std::string take(const std::string& bytes, const std::string& request);

  /// @return the id of the last event; 0 if there is none.
  std::uint64_t lastId() const { return lastId_; }
  /// @return the id of the try that brought the first event.
  const std::string& begunBy() const { return begunBy_; }
  /// @return the software versions of the workers that wrote the events.
  const std::set<std::string>& versions() const { return versions_; }

 private:
  std::uint64_t lastId_ = 0;
  std::string begunBy_;
  std::set<std::string> versions_;
};

}  // namespace walnut::rehearsal
