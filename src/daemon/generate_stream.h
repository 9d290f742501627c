#pragma once
/// @file
/// One attempt of a generation over HTTP: hands it to an engine and reads its events.

#include <atomic>
#include <functional>
#include <memory>

#include "http/http_client.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/engine/messages.h"

namespace walnut::daemon {

/// Takes the events of attempts; called on the attempt's thread.
using GenerateSink = std::function<void(engine::GenerateEvent)>;

struct GenerateStreamOptions {
  base::Duration connectTimeout = std::chrono::seconds(1);
  /// Longest silence of the engine. The routing logic has its own, shorter time-outs; this one only
  /// frees the thread of an attempt that was given up without a cancel.
  base::Duration silenceTimeout = std::chrono::seconds(30);
};

/// One attempt. `run` blocks until the attempt has ended.
///
/// Invariants: the sink gets at most one terminal event (Ended or Failed), and nothing after it;
/// exactly one unless `cancel` was called. Each event carries the attempt's own ids: an event under
/// other ids ends the attempt as failed. A Failed has `started`
///   no       if no connection was made, or the engine said so and had not begun;
///   yes      if the engine had begun, by its word or by a token;
///   unknown  else: bytes were handed to the socket.
class GenerateStream {
 public:
  GenerateStream(base::Endpoint endpoint, engine::GenerateRequest request,
                 const GenerateStreamOptions& options);

  void run(const GenerateSink& sink);

  /// Closes the connection; no event follows the return, but one that is being handed over. Any
  /// thread.
  void cancel();

  base::AttemptId attempt() const { return request_.attempt; }

 private:
  using Started = engine::GenerateFailed::Started;

  base::Result<void> sendRequest();
  base::Result<void> readEvents(const GenerateSink& sink);
  base::Result<void> handOver(const GenerateSink& sink, engine::GenerateEvent event);
  base::Error refusal(const http::ReplyHead& head);
  void deliver(const GenerateSink& sink, engine::GenerateEvent event);
  void fail(const GenerateSink& sink, const base::Error& error);

  const base::Endpoint endpoint_;
  const engine::GenerateRequest request_;
  const GenerateStreamOptions options_;
  http::HttpClientConnection connection_;
  std::atomic<bool> cancelled_ = false;
  Started started_ = Started::no;  ///< What is known so far.
  bool ended_ = false;             ///< A terminal event was handed over.
};

}  // namespace walnut::daemon
