#pragma once
/// @file
/// The operators' HTTP API of a controller: resources, watches, membership, status, health,
/// readiness and metrics. Routes and shapes: docs/API.md.

#include <cstdint>
#include <memory>
#include <optional>

#include "http/event_queue.h"
#include "http/exchange.h"
#include "http/process_probe.h"
#include "walnut/control/controller.h"
#include "walnut/protocol/messages.h"

namespace walnut::http {

using WatchQueue = EventQueue<control::ApiWatchEvents>;

/// What the resource API needs of the process behind it. All methods may be called from any thread.
class ResourceBackend {
 public:
  virtual ~ResourceBackend() = default;
  /// Hands in a request and waits for its answer, which comes at the latest after
  /// ControllerOptions::apiTimeout.
  virtual protocol::ApiReply call(protocol::ApiRequest request) = 0;
  /// Opens a watch; its events go to `queue` until it is closed or an event carries an error.
  /// @return the number to close it by.
  virtual std::uint64_t openWatch(std::optional<resource::Kind> kind, resource::Version fromVersion,
                                  std::shared_ptr<WatchQueue> queue) = 0;
  virtual void closeWatch(std::uint64_t watch) = 0;
  /// @return true once the process is being stopped: open watches should end.
  virtual bool stopping() = 0;
};

/// Handler of the routes. Thread safe.
class ResourceApi {
 public:
  ResourceApi(ResourceBackend& backend, ProcessProbe& probe) : backend_(backend), probe_(probe) {}

  void handle(Exchange& exchange);

 private:
  ResourceBackend& backend_;
  ProcessProbe& probe_;
};

}  // namespace walnut::http
