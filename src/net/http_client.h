#pragma once
/// @file
/// HTTP client for calls whose response is received whole, within a time-out.

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "net/client_pool.h"

namespace walnut::net {

/// Result of a call: the response or an error, and whether the server may have received the
/// request.
struct CallOutcome {
  base::Result<HttpResponse> response;
  bool sent = false;
};

/// Which connections a call may use.
enum class ConnectionUse : std::uint8_t {
  pooled,  ///< Also one that carried other calls, of which one more response may come.
  own,     ///< A new one that carries nothing else, so that any response on it is to this call.
};

/// HTTP client that reuses connections. Owns its calls in progress.
class HttpClient {
 public:
  using Callback = std::function<void(CallOutcome outcome)>;

  HttpClient(event::Dispatcher& dispatcher, const ClientPoolOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request; `callback` runs once, with the response or an error.
  /// @param key identifies one incarnation of the server, as in ClientPool.
  void call(const std::string& key, const base::Endpoint& remote, const HttpRequest& request,
            base::Duration timeout, Callback callback, ConnectionUse use = ConnectionUse::pooled);
  /// Closes the idle connections to a server that no longer exists.
  void forget(const std::string& key) { pool_.forget(key); }

 private:
  class Call;
  void finish(Call& call, CallOutcome outcome);

  event::Dispatcher& dispatcher_;
  ClientPool pool_;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
};

}  // namespace walnut::net
