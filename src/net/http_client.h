#pragma once
/// @file
/// Whole HTTP calls: a request, its whole answer, a time-out.

#include <functional>
#include <memory>
#include <unordered_map>

#include "net/client_pool.h"

namespace walnut::net {

/// Result of a call; with an error, whether the server may have seen the request.
struct CallOutcome {
  base::Result<HttpResponse> response;
  bool sent = false;
};

/// Owns its calls in progress.
class HttpClient {
 public:
  using Callback = std::function<void(CallOutcome outcome)>;

  HttpClient(event::Dispatcher& dispatcher, const ClientPoolOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @param key names one life of the server, as in ClientPool.
  void call(const std::string& key, const base::Endpoint& remote, const HttpRequest& request,
            base::Duration timeout, Callback callback);
  /// Closes idle connections to a server that is gone.
  void forget(const std::string& key) { pool_.forget(key); }

 private:
  class Call;
  void finish(Call& call, CallOutcome outcome);

  event::Dispatcher& dispatcher_;
  ClientPool pool_;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
};

}  // namespace walnut::net
