#pragma once
/// @file
/// Server side of one HTTP connection.

#include <functional>
#include <memory>
#include <string>

#include "net/connection.h"
#include "net/message_parser.h"
#include "walnut/net/server.h"

namespace walnut::net {

/// Server side of one HTTP connection. States: idle -> reading a request -> handling it -> idle,
/// ...
/// -> closing (the last response is still being written) -> closed. One request is handled at a
/// time; bytes of further requests are buffered until the current one is answered. Owned by
/// HttpServer.
class ServerConnection : public ConnectionCallbacks,
                         public MessageParserCallbacks,
                         public ResponseSink {
 public:
  using ClosedCallback = std::function<void(ServerConnection&)>;

  ServerConnection(event::Dispatcher& dispatcher, const Poco::Net::StreamSocket& socket,
                   const ServerLimits& limits, RequestHandler& handler, ClosedCallback onClosed);

  /// Closes the connection once the current request, if any, is answered and the answer is written.
  void closeWhenIdle();
  /// From now on, responses ask the caller to close the connection (`Connection: close`).
  void announceClose() { announceClose_ = true; }
  /// Counts the output that the caller has not read.
  void countOutput(ByteCounter& counter) { connection_.countOutput(counter); }
  /// @return true if `closeWhenIdle` would close it now.
  bool mayClose() const;
  bool idle() const { return state_ == State::idle && pending_.empty(); }

  // ResponseSink
  void respond(HttpResponse response) override;
  void beginChunked(HttpResponseHead head) override;
  void writeChunk(std::string_view bytes) override;
  void endChunked() override;
  void abort() override;
  void reserve(std::size_t bytes) override { connection_.reserveOutput(bytes); }
  std::size_t bufferedBytes() const override { return connection_.bufferedBytes(); }
  void setGoneCallback(std::function<void()> callback) override { onGone_ = std::move(callback); }
  void setDrainedCallback(std::function<void()> callback) override {
    onDrained_ = std::move(callback);
  }

 private:
  enum class State : std::uint8_t { idle, reading, handling, closing, closed };

  // ConnectionCallbacks
  void onData(std::string_view bytes) override;
  void onEndOfStream() override;
  void onEnd(const base::Error& error) override;
  void onDrained() override;
  // MessageParserCallbacks
  void onHead(MessageHead head) override;
  void onBody(std::string_view bytes) override;
  void onComplete() override;

  void parsePending();
  bool reserveBody(std::size_t bytes);
  void releaseBody();
  void refuse(int status);
  void finishAnswer();
  void beginClosing();
  void handleDisconnect();
  void becomeClosed();
  void onTimeout();
  void armTimer();
  void closeIfIdle();
  bool hasUnreadRequest() const;
  bool isWriting() const;
  bool willClose() const;
  base::TimePoint idleUntil() const;
  void finishHead(HttpResponseHead& head);

  event::Dispatcher& dispatcher_;
  const ServerLimits& limits_;
  RequestHandler& handler_;
  const ClosedCallback onClosed_;
  const base::TimePoint openedAt_;
  bool hasBegunRequest_ = false;
  Connection connection_;
  MessageParser parser_;
  event::TimerPtr timer_;
  State state_ = State::idle;
  HttpRequest request_;
  std::string pending_;           ///< Received bytes that are not parsed yet.
  std::size_t reservedBody_ = 0;  ///< Memory that the handler has reserved for `request_.body`.
  base::TimePoint idleSince_;
  base::Duration announcedIdleTimeout_{0};  ///< As the last answer's head said.
  std::size_t unsent_ = 0;                  ///< Buffered output when the timer was last armed.
  std::function<void()> onGone_;
  std::function<void()> onDrained_;
  bool keepAlive_ = true;
  bool announceClose_ = false;
  bool closeWhenIdle_ = false;
  bool headRequest_ = false;
  bool refused_ = false;
  bool parsing_ = false;
};

}  // namespace walnut::net
