#pragma once
/// @file
/// Wake-up signal for a thread that waits in a poll set.

#include <Poco/Net/DatagramSocket.h>

#include <atomic>

namespace walnut::event {

/// Wakes a polling thread by a loopback datagram socket that is connected to itself, since PollSet
/// of POCO 1.11 has no wake-up function. As it is connected, the kernel drops datagrams from any
/// other sender.
class Waker {
 public:
  Waker();

  /// Wakes the polling thread. May be called from any thread. Calls before the next `drain` share
  /// one datagram.
  void wake();
  /// Resets the signal. Called on the polling thread before it checks what it was woken for.
  void drain();

  const Poco::Net::DatagramSocket& socket() const { return socket_; }

 private:
  Poco::Net::DatagramSocket socket_;
  std::atomic<bool> pending_ = false;
};

}  // namespace walnut::event
