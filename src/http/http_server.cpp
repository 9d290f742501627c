#include "http/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <utility>

#include "walnut/runtime/log.h"

namespace walnut::http {

using base::Error;
using base::ErrorCode;

namespace {

constexpr int kListenBacklog = 512;
constexpr int kMinThreads = 2;
/// The last thread of Poco's dispatcher may miss the wake-up of a stop, if it has just ended a
/// connection; it then sees the stop only after this time. Poco's default is 10 s.
constexpr base::Duration kThreadIdleTime = std::chrono::milliseconds(50);

/// Runs the handler, and answers for it if it throws.
class HandlerAdapter : public Poco::Net::HTTPRequestHandler {
 public:
  HandlerAdapter(const RequestHandler& handler, const DrainSignal& drain)
      : handler_(handler), drain_(drain) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    if (drain_.raised()) {
      // Tells the client not to send another request here. Exchange copies the request's wish.
      request.setKeepAlive(false);
      response.setKeepAlive(false);
    }
    Exchange exchange(request, response);
    if (exchange.isCut()) {
      runtime::logEvent("http request cut", {{"path", request.getURI()}});
      response.setKeepAlive(false);
      return;
    }
    try {
      handler_(exchange);
    } catch (const std::exception& exception) {
      const Error error{ErrorCode::internal, request.getURI(), exception.what()};
      runtime::logError("http handler failed", error);
      if (!exchange.responseBegun()) {
        exchange.sendError(resourceErrorBody(error));
      }
    }
  }

 private:
  const RequestHandler& handler_;
  const DrainSignal& drain_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  HandlerFactory(RequestHandler handler, const DrainSignal& drain)
      : handler_(std::move(handler)), drain_(drain) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new HandlerAdapter(handler_, drain_);
  }

 private:
  RequestHandler handler_;
  const DrainSignal& drain_;
};

}  // namespace

HttpServer::HttpServer(const HttpServerOptions& options, RequestHandler handler)
    : open_(options.firstRequestGrace),
      listener_(new ListeningSocketImpl(open_, drain_)),
      threads_(kMinThreads, options.maxConnections + kMinThreads) {
  ListeningSocket socket(listener_.duplicate());
  socket.bind(Poco::Net::SocketAddress(options.listen.address, options.listen.port), true, false);
  socket.listen(kListenBacklog);
  endpoint_ = base::Endpoint{options.listen.address, socket.address().port()};

  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(options.maxConnections);
  params->setMaxQueued(options.maxWaiting);
  params->setTimeout(Poco::Timespan(options.receiveTimeout.count()));
  params->setThreadIdleTime(Poco::Timespan(kThreadIdleTime.count()));
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(options.keepAliveTimeout.count()));
  server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(std::move(handler), drain_),
                                                    threads_, socket, params);
  server_->start();
}

base::Result<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerOptions& options,
                                                            RequestHandler handler) {
  try {
    return std::unique_ptr<HttpServer>(new HttpServer(options, std::move(handler)));
  } catch (const Poco::Exception& exception) {
    const std::string address = options.listen.address + ":" + std::to_string(options.listen.port);
    return Error{ErrorCode::connectFailed, address, exception.displayText()};
  }
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::stop() {
  if (server_) {
    // Poco would drop what is in the backlog, what no thread has yet, and what has not begun. What
    // is left for it to end are connections without a request.
    listener_->drain();
    open_.waitUntilNone();
    listener_->release();
    server_->stopAll(false);
    threads_.joinAll();
    server_.reset();
  }
}

}  // namespace walnut::http
