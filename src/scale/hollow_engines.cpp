#include "scale/hollow_engines.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <utility>

#include "scale/process_usage.h"
#include "walnut/engine/json_codec.h"
#include "walnut/runtime/clock.h"

namespace walnut::scale {

namespace {

constexpr const char* kAddress = "127.0.0.1";
constexpr int kBacklog = 64;
constexpr int kIdlePollMillis = 100;

/// No limits: the other side is our own daemons.
Poco::Net::HTTPServerParams::Ptr sessionParams() {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setKeepAlive(true);
  params->setMaxKeepAliveRequests(0);
  return params;
}

}  // namespace

/// What one engine holds.
struct HollowEngines::Engine {
  engine::Report report;
  base::Endpoint endpoint;
};

/// One connection between requests.
struct HollowEngines::Connection {
  Connection(const Poco::Net::StreamSocket& streamSocket, std::size_t engineNumber)
      : socket(streamSocket),
        engine(engineNumber),
        params(sessionParams()),
        session(std::make_unique<Poco::Net::HTTPServerSession>(socket, params)) {}

  Poco::Net::StreamSocket socket;
  std::size_t engine;
  Poco::Net::HTTPServerParams::Ptr params;
  std::unique_ptr<Poco::Net::HTTPServerSession> session;
  std::unique_ptr<Poco::Net::HTTPServerResponseImpl> response;
  std::unique_ptr<Poco::Net::HTTPServerRequestImpl> request;
};

/// One generation. Destroyed in the reverse order: the response before its session.
struct HollowEngines::Stream {
  std::unique_ptr<Connection> connection;
  std::ostream* output = nullptr;
  engine::GenerateRequest generate;
  base::Incarnation incarnation;
  std::uint32_t nextOffset = 0;

  /// @return false if the peer is gone.
  bool write(const engine::GenerateEvent& event) {
    *output << "event: " << engine::generateEventName(event)
            << "\ndata: " << engine::encodeGenerateEvent(event) << "\n\n";
    output->flush();
    return output->good();
  }
};

HollowEngines::HollowEngines(const HollowEnginesOptions& options) : options_(options) {
  // First, lest the kernel picks its port for an engine.
  platformPort_ = listen(options_.platformPort, options_.engines);
  for (std::size_t number = 0; number < options_.engines; ++number) {
    auto engine = std::make_unique<Engine>();
    engine->endpoint = {kAddress, listen(0, number)};
    const resource::Engine record = engineRecord(number, engine->endpoint);
    engine->report.incarnation = record.incarnation;
    engine->report.acceleratorBytes = record.acceleratorBytes;
    engines_.push_back(std::move(engine));
  }
  thread_ = std::thread([this] { run(); });
}

std::uint16_t HollowEngines::listen(std::uint16_t port, std::size_t engine) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(kAddress, port), true, false);
  socket.listen(kBacklog);
  listeners_.emplace(socket, engine);
  pollSet_.add(socket, Poco::Net::PollSet::POLL_READ);
  return socket.address().port();
}

HollowEngines::~HollowEngines() {
  stopping_ = true;
  thread_.join();
}

void HollowEngines::holdReplicas(const CellSize& size) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, Engine*> byName;
  for (std::size_t number = 0; number < engines_.size(); ++number) {
    byName[engineName(number).value] = engines_[number].get();
  }
  for (std::size_t number = 0; number < size.replicas; ++number) {
    const resource::Replica replica = replicaRecord(size, number);
    const auto holder = byName.find(replica.engine.value);
    if (holder != byName.end()) {
      holder->second->report.held.push_back(
          {replica.servable, replica.accelerator, replica.bytes, engine::HeldState::ready, 1});
    }
  }
}

std::vector<base::Endpoint> HollowEngines::endpoints() const {
  std::vector<base::Endpoint> endpoints;
  for (const auto& engine : engines_) {
    endpoints.push_back(engine->endpoint);
  }
  return endpoints;
}

HollowEngineCounters HollowEngines::counters() const {
  return {reports_, orders_, streamsBegun_, tokens_, connectionsMade_, processorSeconds_};
}

void HollowEngines::run() {
  while (!stopping_) {
    try {
      pollOnce();
    } catch (const Poco::Exception&) {
      // A connection broke: its peer starts another one.
    }
    processorSeconds_ = threadProcessorSeconds();
  }
}

int HollowEngines::pollMillis() const {
  if (streams_.empty()) {
    return kIdlePollMillis;
  }
  const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(streams_.begin()->first - runtime::now());
  return static_cast<int>(std::clamp<std::int64_t>(wait.count(), 0, kIdlePollMillis));
}

void HollowEngines::pollOnce() {
  constexpr Poco::Timespan::TimeDiff kMicrosPerMilli = 1000;
  const auto ready = pollSet_.poll(Poco::Timespan(pollMillis() * kMicrosPerMilli));
  for (const auto& [socket, mode] : ready) {
    const auto listener = listeners_.find(socket);
    if (listener != listeners_.end()) {
      Poco::Net::ServerSocket server(socket);
      accept(server, listener->second);
    } else {
      serve(socket);
    }
  }
  continueStreams();
}

void HollowEngines::accept(Poco::Net::ServerSocket& listener, std::size_t engine) {
  Poco::Net::StreamSocket socket = listener.acceptConnection();
  socket.setNoDelay(true);
  connections_.emplace(socket, std::make_unique<Connection>(socket, engine));
  pollSet_.add(socket, Poco::Net::PollSet::POLL_READ);
  ++connectionsMade_;
}

void HollowEngines::serve(const Poco::Net::Socket& socket) {
  const auto found = connections_.find(socket);
  if (found == connections_.end()) {
    return;
  }
  bool keep = false;
  try {
    keep = found->second->session->hasMoreRequests() && handleRequest(*found->second);
  } catch (const Poco::Exception&) {
    keep = false;  // Closed by the peer.
  }
  if (!keep) {
    pollSet_.remove(socket);
    connections_.erase(found);
  }
}

/// @return false if the connection ends, or has become a stream.
bool HollowEngines::handleRequest(Connection& connection) {
  connection.response = std::make_unique<Poco::Net::HTTPServerResponseImpl>(*connection.session);
  connection.request = std::make_unique<Poco::Net::HTTPServerRequestImpl>(
      *connection.response, *connection.session, connection.params);
  Poco::Net::HTTPServerRequestImpl& request = *connection.request;
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  connection.response->setVersion(request.getVersion());
  if (request.getURI() == "/v1/generate") {
    auto owned = std::move(connections_.find(connection.socket)->second);
    beginStream(std::move(owned), body);
    return false;
  }
  const std::string answer = answerTo(connection.engine, request.getURI(), body);
  connection.response->setKeepAlive(request.getKeepAlive());
  connection.response->setContentType("application/json");
  connection.session->setKeepAlive(request.getKeepAlive());
  const bool keep = request.getKeepAlive();
  connection.response->sendBuffer(answer.data(), answer.size());
  // What is left in the buffers of the response is written when it ends.
  connection.request.reset();
  connection.response.reset();
  return keep;
}

std::string HollowEngines::answerTo(std::size_t engine, const std::string& path,
                                    const std::string& body) {
  if (path == "/v1/report") {
    return report(engine, body);
  }
  if (path == "/v1/orders") {
    return order(engine, body);
  }
  if (path == "/v1/machines") {
    return platformList();
  }
  return engine::encodeCacheEvents({});
}

std::string HollowEngines::report(std::size_t engine, const std::string& body) {
  ++reports_;
  const auto request = engine::decodeReportRequest(body);
  const std::lock_guard lock(mutex_);
  engine::Report& report = engines_[engine]->report;
  if (request.has_value()) {
    report.greatestToken = std::max(report.greatestToken, request.value().token);
  }
  return engine::encodeReport(report);
}

std::string HollowEngines::order(std::size_t engine, const std::string& body) {
  ++orders_;
  const auto order = engine::decodeOrder(body);
  if (order.has_error()) {
    return "{}";
  }
  const std::lock_guard lock(mutex_);
  engine::Report& report = engines_[engine]->report;
  report.greatestToken = std::max(report.greatestToken, order.value().token);
  std::erase_if(report.held, [&](const engine::HeldServable& held) {
    return held.servable == order.value().servable;
  });
  if (order.value().action == engine::OrderAction::load) {
    report.held.push_back({order.value().servable, order.value().accelerator,
                           order.value().acceleratorBytes, engine::HeldState::ready, 0});
  }
  return engine::encodeOrderAccepted({order.value().token});
}

std::string HollowEngines::platformList() const {
  engine::PlatformList list;
  list.asOf = runtime::now();
  for (std::size_t number = 0; number < std::min<std::size_t>(listed_, engines_.size()); ++number) {
    const resource::Engine record = engineRecord(number, engines_[number]->endpoint);
    list.machines.push_back(
        {record.id, record.endpoint, record.zone, record.machineClass, false, std::nullopt});
  }
  return engine::encodePlatformList(list);
}

void HollowEngines::beginStream(std::unique_ptr<Connection> connection, const std::string& body) {
  auto generate = engine::decodeGenerateRequest(body);
  if (generate.has_error()) {
    return;
  }
  ++streamsBegun_;
  auto stream = std::make_unique<Stream>();
  stream->generate = std::move(generate.value());
  stream->nextOffset = stream->generate.offset;
  stream->incarnation = {1 + connection->engine};
  connection->response->setChunkedTransferEncoding(true);
  connection->response->setContentType("text/event-stream");
  stream->output = &connection->response->send();
  stream->connection = std::move(connection);
  const engine::GenerateRequest& request = stream->generate;
  if (stream->write(
          engine::GenerateStarted{request.request, request.attempt, stream->incarnation, {}})) {
    streams_.emplace(runtime::now() + options_.firstToken, std::move(stream));
  }
}

void HollowEngines::continueStreams() {
  const base::TimePoint now = runtime::now();
  while (!streams_.empty() && streams_.begin()->first <= now) {
    const base::TimePoint due = streams_.begin()->first;
    std::unique_ptr<Stream> stream = std::move(streams_.begin()->second);
    streams_.erase(streams_.begin());
    const engine::GenerateRequest& request = stream->generate;
    if (stream->nextOffset >= request.maxTokens) {
      stream->write(engine::GenerateEnded{
          request.request, request.attempt, stream->nextOffset, engine::FinishReason::length, {}});
      continue;
    }
    ++tokens_;
    const bool written = stream->write(
        engine::GenerateToken{request.request, request.attempt, stream->nextOffset++, " word"});
    if (written) {
      streams_.emplace(due + options_.tokenInterval, std::move(stream));
    }
  }
}

}  // namespace walnut::scale
