#pragma once
/// @file
/// The connections that a stop of the HTTP server has to wait for.

#include <Poco/Net/StreamSocketImpl.h>

#include <condition_variable>
#include <map>
#include <mutex>

#include "http/drain_signal.h"
#include "http/request_tracker.h"
#include "walnut/base/time.h"

namespace walnut::http {

/// Accepted connections that are not closed yet. Thread safe.
///
/// States of one: queued (no thread has it yet) -> expected (a thread waits for its first byte) ->
/// used (its first byte has come; it may be kept for later requests) -> closed, which may follow
/// each of them. An expected one counts for the grace only: its peer may never send anything.
class OpenConnections {
 public:
  explicit OpenConnections(base::Duration grace) : grace_(grace) {}

  void queued(const Poco::Net::SocketImpl* connection);
  void expected(const Poco::Net::SocketImpl* connection);
  void used(const Poco::Net::SocketImpl* connection);
  void closed(const Poco::Net::SocketImpl* connection);

  /// Blocks until each of them is closed, or expected for longer than the grace.
  void waitUntilNone();

 private:
  void set(const Poco::Net::SocketImpl* connection, base::TimePoint countsUntil);

  const base::Duration grace_;
  std::mutex mutex_;
  std::condition_variable changed_;
  /// Until when each connection counts; base::kNever: until it is closed.
  std::map<const Poco::Net::SocketImpl*, base::TimePoint> countsUntil_;
};

/// A connection that tells its states. Poco's server polls it when a thread waits for the first
/// request, and again for each later one. Once the drain signal is raised, a wait for a later
/// request ends: what has come is served, else Poco closes the connection.
class OpenSocketImpl : public Poco::Net::StreamSocketImpl {
 public:
  /// Takes over the connected descriptor.
  OpenSocketImpl(poco_socket_t descriptor, OpenConnections& open, const DrainSignal& drain);
  bool poll(const Poco::Timespan& timeout, int mode) override;
  int receiveBytes(void* buffer, int length, int flags) override;

  /// @return true if the client has closed the connection within a request.
  bool isRequestCut() const { return tracker_.isCut(); }

 protected:
  ~OpenSocketImpl() override;

 private:
  bool awaitFirstRequest(const Poco::Timespan& timeout);

  OpenConnections& open_;
  const DrainSignal& drain_;
  bool used_ = false;
  RequestTracker tracker_;
};

}  // namespace walnut::http
