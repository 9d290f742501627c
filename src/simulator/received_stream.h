#pragma once
/// @file
/// What a caller has received of a stream of events, over all its tries.

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace walnut::simulator {

/// Checks that the events of a stream come whole, in order and once.
class ReceivedStream {
 public:
  /// Adds what a gateway has passed on at one time.
  void feed(std::string_view bytes);

  std::uint64_t lastId() const { return lastId_; }
  /// @return the software versions of the workers whose events it holds; unknown ones are left out.
  const std::set<std::string>& versions() const { return versions_; }
  /// @return what was wrong first; empty if nothing was.
  const std::string& error() const { return error_; }

 private:
  void takeEvent(std::string_view event);
  void fail(std::string_view reason, std::string_view event);

  std::uint64_t lastId_ = 0;
  std::set<std::string> versions_;
  std::string error_;
};

/// @param worker writes the event; without blanks.
/// @param version of its software; empty: unknown.
std::string streamEvent(std::uint64_t id, const std::string& worker, const std::string& version);

}  // namespace walnut::simulator
