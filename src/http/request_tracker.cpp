#include "http/request_tracker.h"

namespace walnut::http {

namespace {

/// Above what the server itself accepts.
constexpr std::size_t kMaxHeadBytes = 1U << 20U;

}  // namespace

RequestTracker::RequestTracker()
    : parser_(net::MessageParser::Kind::request, kMaxHeadBytes, *this) {}

void RequestTracker::received(std::string_view bytes) {
  while (follows_ && !bytes.empty()) {
    const auto taken = parser_.feed(bytes);
    follows_ = taken.has_value();
    bytes.remove_prefix(follows_ ? taken.value() : bytes.size());
  }
}

}  // namespace walnut::http
