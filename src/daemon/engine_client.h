#pragma once
/// @file
/// Calls of the engines' and the platform's published protocol (walnut/engine/json_codec.h), but
/// generations, which are GenerateStream's.

#include <functional>
#include <string>
#include <vector>

#include "daemon/call_executor.h"
#include "walnut/engine/messages.h"

namespace walnut::daemon {

/// Typed calls over a CallExecutor. Each callback is called exactly once, at its time-out at the
/// latest, on a thread of the executor. Errors: the server's typed refusal; `connectFailed`,
/// `connectionLost` and `timedOut` of the call; `engineFailed` for an answer that is not as the
/// protocol says. Thread safe.
class EngineClient {
 public:
  EngineClient(CallExecutor& executor, base::Duration callTimeout)
      : executor_(executor), callTimeout_(callTimeout) {}

  void call(const base::Endpoint& engine, const engine::Call& call,
            std::function<void(engine::CallResult)> done);
  /// Best effort; closing the attempt's connection ends it as well.
  void cancel(const base::Endpoint& engine, const engine::CancelRequest& request);
  void exportKv(const base::Endpoint& engine, const engine::ExportRequest& request,
                std::function<void(engine::ExportResult)> done);
  void holdKv(const base::Endpoint& engine, const engine::HoldRequest& request,
              std::function<void(engine::HoldResult)> done);
  /// Fetches an exported state, which consumes it there: its bytes.
  void fetchState(const engine::KvSource& source,
                  std::function<void(base::Result<std::string>)> done);
  void putState(const base::Endpoint& engine, const engine::PutRequest& request, std::string state,
                std::function<void(engine::HoldResult)> done);
  void readCacheEvents(const base::Endpoint& engine, std::uint64_t after,
                       std::function<void(base::Result<std::vector<engine::CacheEvent>>)> done);
  void readPlatformList(const base::Endpoint& platform,
                        std::function<void(base::Result<engine::PlatformList>)> done);

 private:
  CallExecutor& executor_;
  const base::Duration callTimeout_;
};

}  // namespace walnut::daemon
