/// @file
/// The part of a gateway that refuses requests while its memory for callers is used up.

#include "gateway/gateway.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kUnavailable = 503;
/// Retry-After value at the limit: callers that read slowly free their memory within seconds.
constexpr base::Duration kRetryAfterBuffersFull = std::chrono::seconds(1);
/// The limit counts as left once a quarter of it is free, so that the log doesn't alternate with
/// each response.
constexpr std::size_t kLeftNumerator = 3;
constexpr std::size_t kLeftDenominator = 4;

}  // namespace

void Gateway::prepareBuffers() {
  buffers_.setRoomCallback([this] {
    if (!std::exchange(buffersSoon_, true)) {
      scheduler_.runSoon([this] {
        buffersSoon_ = false;
        buffers_.serveWaiting();
      });
    }
  });
}

BufferBudget::Share Gateway::shareOf(const net::HttpRequest& request) {
  BufferBudget::Share share(buffers_);
  share.set({request.body.size(), request.body.size()});
  return share;
}

/// Refuses a new request at the limit. It has not run, and running exchanges go on.
/// @return true if it was refused.
bool Gateway::refuseAtBufferLimit(const net::HttpRequest& request, net::ResponseSink& sink,
                                  const std::string& requestId) {
  if (buffers_.admits(request.body.size())) {
    reviewBufferLimit();
    return false;
  }
  if (!std::exchange(buffersFull_, true)) {
    logBufferLimit(LogEvent::bufferLimitReached);
  }
  metrics_.count("walnut_gateway_refused_buffers_total", "refused");
  refuse(sink, requestId, kUnavailable, "buffers are full", kRetryAfterBuffersFull);
  return true;
}

/// Leaves half of the limit to requests that run: bodies may be received for as long as their
/// callers like.
bool Gateway::reserveBody(std::size_t bytes) {
  if (!buffers_.fitsInHalf(bytes)) {
    metrics_.count("walnut_gateway_refused_buffers_total", "body");
    log_.write(LogEvent::requestRefused, {{"status", std::uint64_t{kUnavailable}},
                                          {"reason", "no room for the body"},
                                          {"bytes", std::uint64_t{bytes}},
                                          {"committed", std::uint64_t{buffers_.committed()}},
                                          {"limit", std::uint64_t{buffers_.limit()}}});
    return false;
  }
  buffers_.countChanged({}, {bytes, bytes});
  return true;
}

void Gateway::releaseBody(std::size_t bytes) { buffers_.countChanged({bytes, bytes}, {}); }

void Gateway::reviewBufferLimit() {
  if (buffersFull_ &&
      buffers_.committed() <= buffers_.limit() / kLeftDenominator * kLeftNumerator) {
    buffersFull_ = false;
    logBufferLimit(LogEvent::bufferLimitLeft);
  }
}

void Gateway::logBufferLimit(LogEvent event) {
  log_.write(event, {{"bytes", std::uint64_t{buffers_.held()}},
                     {"committed", std::uint64_t{buffers_.committed()}},
                     {"limit", std::uint64_t{buffers_.limit()}},
                     {"streams", std::uint64_t{exchanges_.size()}}});
}

}  // namespace walnut::gateway
