#pragma once
/// @file
/// A worker of the users' platform, as their pages describe it: answers requests, streams, orders
/// and reports over HTTP.

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <set>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "platform/names.h"

namespace walnut::daemon::testing {

/// Serves on the loop of the test. A plain request is answered with "answer to BODY"; a request
/// with a model gets three events, if the model is held.
class StandinWorker : public net::RequestHandler {
 public:
  StandinWorker(event::Dispatcher& dispatcher, std::string id) : id_(std::move(id)) {
    server_ = std::move(net::HttpServer::open(dispatcher, {"127.0.0.1", 0}, {}, *this).value());
  }

  std::set<std::string> models;
  bool full = false;             ///< Rejects all requests as not run.
  bool rejectionsHaveId = true;  ///< Its rejections bear the id of their request.
  bool breakNext = false;        ///< Breaks the next stream off within its second event.
  std::vector<net::HttpRequest> requests;
  std::vector<std::string> orders;  ///< Their bodies.

  const base::Endpoint& endpoint() const { return server_->endpoint(); }

  /// @return the body of its next heartbeat.
  std::string heartbeat(const std::string& service, bool draining) {
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" +
           std::to_string(endpoint().port) + R"(","zone":"z","version":"v1","slots":4,"state":")" +
           (draining ? "draining" : "ready") + R"(","coldLeftMs":0,"models":[)" + heldModels() +
           R"(],"seq":)" + std::to_string(++sequence_) + "}";
  }

  void onRequest(net::HttpRequest request, net::ResponseSink& sink) override {
    if (request.path() == platform::kReportPath) {
      report(sink);
    } else if (request.path() == platform::kOrderPath) {
      order(request, sink);
    } else {
      serve(std::move(request), sink);
    }
  }

 private:
  /// @return the entries of the models that it holds, as heartbeats and reports have them.
  std::string heldModels() const {
    std::string held;
    for (const std::string& model : models) {
      held += held.empty() ? "" : ",";
      held += R"({"name":")" + model + R"(","version":1,"adapters":[]})";
    }
    return held;
  }

  void serve(net::HttpRequest request, net::ResponseSink& sink) {
    const std::string* target = request.headers.find(platform::kTargetHeader);
    const std::string* model = request.headers.find(platform::kModelHeader);
    const std::string* attempt = request.headers.find(platform::kRequestIdHeader);
    net::HttpResponse response;
    if (attempt != nullptr && rejectionsHaveId) {
      response.head.headers.set(platform::kRequestIdHeader, *attempt);
    }
    if (target != nullptr && *target != id_) {
      response.head.status = platform::kMisdirected;
    } else if (full) {
      response.head.status = 503;
      response.head.headers.add(std::string(platform::kNotExecutedHeader), "1");
    } else if (model != nullptr && models.count(*model) == 0) {
      response.head.status = platform::kMisdirected;
    } else {
      response.head.status = 200;
      response.head.headers.set(platform::kRequestIdHeader, *attempt);
      response.head.headers.add(std::string(platform::kSealHeader), "seal of " + *attempt);
    }
    if (response.head.status != 200) {
      sink.respond(std::move(response));
      return;
    }
    if (model == nullptr) {
      response.body = "answer to " + request.body;
      sink.respond(std::move(response));
    } else {
      stream(request, response.head, sink);
    }
    requests.push_back(std::move(request));
  }

  void stream(const net::HttpRequest& request, const net::HttpResponseHead& head,
              net::ResponseSink& sink) {
    const int after =
        static_cast<int>(request.headers.findNumber(platform::kResumeHeader).value_or(0));
    sink.beginChunked(head);
    for (int number = after + 1; number <= 3; ++number) {
      const std::string event = "id: " + std::to_string(number) + "\ndata: x\n\n";
      if (breakNext && number == 2) {
        breakNext = false;
        sink.writeChunk(std::string_view(event).substr(0, 7));
        sink.abort();
        return;
      }
      sink.writeChunk(event);
    }
    sink.endChunked();
  }

  void report(net::ResponseSink& sink) {
    net::HttpResponse response;
    response.head.status = 200;
    response.body = R"({"stage":"colocated","models":[)" + heldModels() +
                    R"(],"inFlight":false,"seq":)" + std::to_string(orders.size()) + "}";
    sink.respond(std::move(response));
  }

  void order(const net::HttpRequest& request, net::ResponseSink& sink) {
    Poco::JSON::Parser parser;
    const auto body = parser.parse(request.body).extract<Poco::JSON::Object::Ptr>();
    net::HttpResponse response;
    if (body->getValue<std::size_t>("expectedRev") != orders.size()) {
      response.head.status = 409;
    } else {
      response.head.status = 202;
      orders.push_back(request.body);
      const auto model = body->getValue<std::string>("model");
      if (body->getValue<std::string>("operation") == "loading") {
        models.insert(model);
      } else {
        models.erase(model);
      }
    }
    sink.respond(std::move(response));
  }

  const std::string id_;
  std::unique_ptr<net::HttpServer> server_;
  std::uint64_t sequence_ = 0;
};

}  // namespace walnut::daemon::testing
