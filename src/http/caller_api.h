#pragma once
/// @file
/// The callers' HTTP API of a router: completions (plain and streamed), the list of models, health,
/// readiness and metrics. Routes and shapes: docs/API.md.

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "http/caller_codec.h"
#include "http/event_queue.h"
#include "http/exchange.h"
#include "http/process_probe.h"
#include "walnut/routing/router.h"

namespace walnut::http {

/// What the decision loop tells of one request, in order; the last two end it.
using AnswerEvent =
    std::variant<routing::CallerToken, routing::CallerEnded, routing::CallerRefused>;
using AnswerQueue = EventQueue<AnswerEvent>;

/// What the caller API needs of the process behind it. All methods may be called from any thread.
class CallerBackend {
 public:
  virtual ~CallerBackend() = default;
  /// @return an id that no other request of any router has.
  virtual base::RequestId nextRequestId() = 0;
  /// Hands in a request. `answer` gets its events, the last one a terminal one, unless the caller
  /// is reported as gone before.
  virtual void submit(routing::CallerRequest request, std::shared_ptr<AnswerQueue> answer) = 0;
  /// The caller has closed its connection.
  virtual void callerGone(const base::RequestId& request) = 0;
  virtual std::vector<routing::ServedName> servedNames() = 0;
};

/// Handler of the routes. Thread safe.
class CallerApi {
 public:
  CallerApi(CallerBackend& backend, ProcessProbe& probe) : backend_(backend), probe_(probe) {}

  void handle(Exchange& exchange);

 private:
  void complete(Exchange& exchange, CompletionShape shape);

  CallerBackend& backend_;
  ProcessProbe& probe_;
};

}  // namespace walnut::http
