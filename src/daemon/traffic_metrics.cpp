#include "daemon/traffic_metrics.h"

namespace walnut::daemon {

namespace {

constexpr const char* kBytes = "walnut_peer_bytes_total";
constexpr const char* kBytesHelp = "Bytes between this process and routers or controllers";
constexpr const char* kMessages = "walnut_peer_messages_total";
constexpr const char* kMessagesHelp = "Messages between this process and routers or controllers";

void advance(prometheus::Counter& counter, std::uint64_t& reported, std::uint64_t current) {
  counter.Increment(static_cast<double>(current - reported));
  reported = current;
}

}  // namespace

TrafficMetrics::TrafficMetrics(runtime::Metrics& metrics)
    : bytesSent_(metrics.counter(kBytes, kBytesHelp, {{"direction", "sent"}})),
      bytesReceived_(metrics.counter(kBytes, kBytesHelp, {{"direction", "received"}})),
      messagesSent_(metrics.counter(kMessages, kMessagesHelp, {{"direction", "sent"}})),
      messagesReceived_(metrics.counter(kMessages, kMessagesHelp, {{"direction", "received"}})) {}

void TrafficMetrics::update(const transport::TrafficCounters& counters) {
  const std::lock_guard lock(mutex_);
  advance(bytesSent_, reported_.bytesSent, counters.bytesSent);
  advance(bytesReceived_, reported_.bytesReceived, counters.bytesReceived);
  advance(messagesSent_, reported_.messagesSent, counters.messagesSent);
  advance(messagesReceived_, reported_.messagesReceived, counters.messagesReceived);
}

}  // namespace walnut::daemon
