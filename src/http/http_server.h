#pragma once
/// @file
/// HTTP server over Poco::Net::HTTPServer, a thread a connection (see docs/DESIGN.md).

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>

#include "http/exchange.h"
#include "http/listening_socket.h"
#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::http {

struct HttpServerOptions {
  base::Endpoint listen{"127.0.0.1", 0};  ///< Port 0: picked by the kernel.
  int maxConnections = 2048;              ///< Served at once, a thread each.
  int maxWaiting = 256;                   ///< Accepted connections that wait for a thread.
  base::Duration receiveTimeout = std::chrono::seconds(30);
  base::Duration keepAliveTimeout = std::chrono::seconds(15);
  /// How long a stop waits for the first byte of a connection, from when a thread waits for it.
  base::Duration firstRequestGrace = std::chrono::seconds(1);
};

/// Serves one request; runs on the connection's thread.
using RequestHandler = std::function<void(Exchange&)>;

/// Listens from construction by `start` until `stop`.
class HttpServer {
 public:
  /// @return `connectFailed` if the address can't be bound.
  static base::Result<std::unique_ptr<HttpServer>> start(const HttpServerOptions& options,
                                                         RequestHandler handler);
  ~HttpServer();

  /// Address and port that the server listens on.
  const base::Endpoint& endpoint() const { return endpoint_; }

  /// Stops accepting, and returns when the requests in service are done. A connection that was made
  /// before still gets an answer to its first request, if that comes within the grace; and on one
  /// that is kept, a request that came before the stop is answered.
  void stop();

 private:
  HttpServer(const HttpServerOptions& options, RequestHandler handler);

  DrainSignal drain_;
  OpenConnections open_;
  Poco::AutoPtr<ListeningSocketImpl> listener_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
  base::Endpoint endpoint_;
};

}  // namespace walnut::http
