#pragma once
/// @file
/// An HTTP/1.1 connection to a server, from the client's side.

#include <cstdint>
#include <functional>

#include "net/connection.h"
#include "net/message_parser.h"

namespace walnut::net {

/// Receives the response to a request. No callback follows `onResponseComplete` or
/// `onResponseFailure`.
class ResponseCallbacks {
 public:
  virtual ~ResponseCallbacks() = default;
  /// @return false if this response belongs to another request: it is discarded, and the next one
  /// on the connection is awaited.
  virtual bool onResponseHead(MessageHead head) = 0;
  virtual void onResponseBody(std::string_view bytes) = 0;
  virtual void onResponseComplete() = 0;
  /// @param sent whether any byte of the request may have reached the server.
  virtual void onResponseFailure(const base::Error& error, bool sent) = 0;
};

/// Time-outs of a client connection.
struct ClientTimeouts {
  base::Duration connect = std::chrono::milliseconds(500);
  /// Longest time for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
  base::Duration unacked = std::chrono::seconds(3);
};

/// Client connection that carries one request at a time. It can be reused after a response only if
/// the request was written completely, the response had a defined length and was not followed by
/// surplus bytes, no response was discarded, and the server keeps the connection open.
class ClientConnection : public ConnectionCallbacks, public MessageParserCallbacks {
 public:
  /// @param number identifies the connection among those of its pool.
  ClientConnection(event::Dispatcher& dispatcher, const base::Endpoint& remote,
                   const ClientTimeouts& timeouts, std::uint64_t number = 0);

  /// @param callbacks must stay valid until the response is complete or has failed, or `cancel`.
  void send(const HttpRequest& request, ResponseCallbacks& callbacks);
  /// Cancels the request: no callback follows. Closing the connection signals this to the server.
  void cancel();

  std::uint64_t number() const { return number_; }
  /// @return when the connection was established; kNever before.
  base::TimePoint connectedAt() const { return connectedAt_; }
  /// @return true if the connection carried other requests before the current one: one more
  /// response to any of them may still come.
  bool carriedOthers() const { return requests_ > 1; }
  bool reusable() const { return reusable_ && !connection_.closed(); }
  /// @return how long the server keeps an idle connection open, from its Keep-Alive field; nothing
  /// if it did not send one.
  std::optional<base::Duration> keepAliveTimeout() const { return keepAliveTimeout_; }
  /// The callback runs when the idle connection can no longer be used.
  void setIdleEndCallback(std::function<void()> callback) { onIdleEnd_ = std::move(callback); }

  /// Pauses or resumes reading of the response.
  void setReading(bool enabled) { connection_.setReading(enabled); }

 private:
  void onConnected() override { connectedAt_ = dispatcher_.now(); }
  void onData(std::string_view bytes) override;
  void onEndOfStream() override;
  void onEnd(const base::Error& error) override;
  void onHead(MessageHead head) override;
  void onBody(std::string_view bytes) override;
  void onComplete() override;

  /// @return an error if the server keeps sending what is no answer to the request.
  base::Result<void> checkSurplus() const;
  void fail(const base::Error& error);
  void handleIdleEnd();

  event::Dispatcher& dispatcher_;
  const std::uint64_t number_;
  base::TimePoint connectedAt_ = base::kNever;
  std::uint64_t requests_ = 0;  ///< That were sent on the connection.
  Connection connection_;
  MessageParser parser_;
  ResponseCallbacks* callbacks_ = nullptr;  ///< Null while idle.
  std::function<void()> onIdleEnd_;
  std::optional<base::Duration> keepAliveTimeout_;
  bool reusable_ = false;
  bool keepAlive_ = true;
  bool framed_ = true;
  bool discardResponse_ = false;  ///< The current response belongs to another request.
  bool hasDiscarded_ = false;  ///< A response was discarded, so the connection's state is in doubt.
  bool interim_ = false;       ///< The current response is interim (status 1xx).
  std::size_t interimResponses_ = 0;  ///< Since the request was sent.
  std::size_t discardedBytes_ = 0;    ///< Of responses to other requests, since then.
};

}  // namespace walnut::net
