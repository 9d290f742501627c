#pragma once
/// @file
/// Wakes a thread that waits in a poll set.

#include <Poco/Net/DatagramSocket.h>

#include <atomic>

namespace walnut::event {

/// A loopback datagram socket connected to itself; POCO 1.11's PollSet has no wake-up of its own.
/// Connected, so that the kernel drops datagrams of anyone else.
class Waker {
 public:
  Waker();

  /// From any thread. Many calls before the next `drain` cost one datagram.
  void wake();
  /// On the polling thread, before it looks at what it was woken for.
  void drain();

  const Poco::Net::DatagramSocket& socket() const { return socket_; }

 private:
  Poco::Net::DatagramSocket socket_;
  std::atomic<bool> pending_ = false;
};

}  // namespace walnut::event
