#pragma once
/// @file
/// One HTTP/1.1 connection to a server.

#include <functional>

#include "net/connection.h"
#include "net/message_parser.h"

namespace walnut::net {

/// Told of the answer to a request. After `onResponseComplete` or `onResponseFailure` nothing
/// follows.
class ResponseCallbacks {
 public:
  virtual ~ResponseCallbacks() = default;
  /// @return false if this answer belongs to another request: it is passed over, and the next one
  /// on the connection is awaited.
  virtual bool onResponseHead(MessageHead head) = 0;
  virtual void onResponseBody(std::string_view bytes) = 0;
  virtual void onResponseComplete() = 0;
  /// @param sent whether any byte of the request may have reached the server.
  virtual void onResponseFailure(const base::Error& error, bool sent) = 0;
};

struct ClientTimeouts {
  base::Duration connect = std::chrono::milliseconds(500);
  /// For sent bytes without acknowledgement.
  base::Duration unacked = std::chrono::seconds(3);
};

/// Carries one request at a time. Reusable after an answer only if the request was written whole,
/// the answer was framed and followed by nothing, and the server keeps the connection open.
class ClientConnection : public ConnectionCallbacks, public MessageParserCallbacks {
 public:
  ClientConnection(event::Dispatcher& dispatcher, const base::Endpoint& remote,
                   const ClientTimeouts& timeouts);

  /// @param callbacks valid until the answer is complete or failed, or `cancel`.
  void send(const HttpRequest& request, ResponseCallbacks& callbacks);
  /// No callback follows. The connection is closed, which tells the server.
  void cancel();

  bool reusable() const { return reusable_ && !connection_.closed(); }
  /// How long the server said it keeps an idle connection open; nothing if it did not say.
  std::optional<base::Duration> keepAliveTimeout() const { return keepAliveTimeout_; }
  /// Called when an idle connection can't be used any more.
  void setIdleEndCallback(std::function<void()> callback) { onIdleEnd_ = std::move(callback); }

  /// Pauses or resumes reading of the answer.
  void setReading(bool enabled) { connection_.setReading(enabled); }

 private:
  void onData(std::string_view bytes) override;
  void onEndOfStream() override;
  void onEnd(const base::Error& error) override;
  void onHead(MessageHead head) override;
  void onBody(std::string_view bytes) override;
  void onComplete() override;

  void fail(const base::Error& error);
  void idleEnded();

  Connection connection_;
  MessageParser parser_;
  ResponseCallbacks* callbacks_ = nullptr;  ///< Null while idle.
  std::function<void()> onIdleEnd_;
  std::optional<base::Duration> keepAliveTimeout_;
  bool reusable_ = false;
  bool keepAlive_ = true;
  bool framed_ = true;
  bool passOver_ = false;    ///< The present answer belongs to another request.
  bool passedOver_ = false;  ///< Some answer did: the connection is in doubt.
  bool interim_ = false;     ///< The present answer is a 1xx.
};

}  // namespace walnut::net
