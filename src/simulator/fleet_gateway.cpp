#include "simulator/fleet_gateway.h"

#include <utility>
#include <variant>

#include "simulator/virtual_loop.h"
#include "walnut/protocol/codec.h"
#include "walnut/registry/feature_level.h"

namespace walnut::simulator {

namespace {

/// A fleet's gateways get no requests.
class NoRequests : public gateway::RequestDialect, public gateway::AttemptLauncher {
 public:
  gateway::RequestFacts readRequest(const net::HttpRequest&) const override { return {}; }
  std::string callerOf(const net::HttpRequest&) const override { return {}; }
  void removeSystemFields(net::HttpRequest&) const override {}
  void writeAttempt(net::HttpRequest&, const gateway::AttemptFacts&) const override {}
  gateway::AnswerFacts readAnswer(int, const net::HeaderList&) const override { return {}; }
  bool isReadinessCall(const net::HttpRequest&) const override { return false; }
  std::unique_ptr<gateway::Attempt> start(const registry::WorkerRecord&, const net::HttpRequest&,
                                          const net::ConnectionChoice&,
                                          net::ResponseCallbacks&) override {
    return nullptr;
  }
  bool connected(const registry::WorkerId&) const override { return true; }
  bool connectedSince(const registry::WorkerId&, base::TimePoint) const override { return true; }
  void forget(const registry::WorkerId&) override {}
};

}  // namespace

/// One life of the process.
struct FleetGateway::GatewayProcess : public gateway::RegistryLink {
  GatewayProcess(FleetGateway& owner, const gateway::RegistrySessionOptions& options)
      : owner_(owner),
        loop(owner.scheduler_),
        session(options, loop, *this, log_, owner.scheduler_.random().uniform(1, 1'000'000)),
        gateway(gatewayOptions(owner.revocation_), loop, none_, none_, session, log_, metrics_),
        follower(loop, session, gateway, log_) {}

  static gateway::GatewayOptions gatewayOptions(base::Duration revocation) {
    gateway::GatewayOptions options;
    options.revocation = revocation;
    return options;
  }

  void open(const base::Endpoint& server) override {
    owner_.processor_.atEndOfTurn([this, server] { owner_.links_.open(owner_.index_, server); });
  }
  void close(protocol::ConnectionId connection) override {
    owner_.processor_.atEndOfTurn(
        [this, connection] { owner_.links_.close(owner_.index_, connection); });
  }
  void send(protocol::ConnectionId connection, registry::MessageBody body) override {
    const auto message =
        std::make_shared<const protocol::Message>(registry::RegistryMessage{std::move(body)});
    const std::size_t bytes = protocol::encodeMessage(*message).size();
    owner_.processor_.charge(messageTime(bytes));
    owner_.processor_.atEndOfTurn([this, connection, message, bytes] {
      owner_.links_.send(owner_.index_, connection, message, bytes);
    });
  }

 private:
  FleetGateway& owner_;
  NoRequests none_;
  runtime::NullEventLog log_;
  runtime::NullMetricsSink metrics_;

 public:
  VirtualLoop loop;
  gateway::RegistrySession session;
  gateway::Gateway gateway;
  gateway::RegistryFollower follower;
};

FleetGateway::FleetGateway(std::size_t index, Scheduler& scheduler, FleetGatewayLinks& links,
                           double share, base::Duration revocation)
    : index_(index),
      scheduler_(scheduler),
      links_(links),
      revocation_(revocation),
      processor_(scheduler, share) {}

FleetGateway::~FleetGateway() = default;

void FleetGateway::start(const std::vector<base::Endpoint>& servers) {
  ++life_;
  gateway::RegistrySessionOptions options;
  options.servers = servers;
  process_ = std::make_unique<GatewayProcess>(*this, options);
  wakeupAt_ = base::kNever;
  post(
      [this] {
        process_->session.start();
        process_->gateway.start();
      },
      0);
}

void FleetGateway::kill() {
  ++life_;
  processor_.reset();
  process_.reset();
}

std::uint64_t FleetGateway::documentVersion() const {
  return process_ == nullptr ? 0 : process_->gateway.documentVersion();
}

std::uint64_t FleetGateway::admittingDocumentVersion() const {
  return process_ == nullptr ? 0 : process_->gateway.admittingDocumentVersion();
}

void FleetGateway::opened(protocol::ConnectionId connection, const base::Endpoint& server) {
  post([this, connection,
        server] { process_->session.opened(connection, server, registry::kFeatureLevel); },
       0);
}

void FleetGateway::openFailed(const base::Endpoint& server) {
  post([this, server] { process_->session.openFailed(server); }, 0);
}

void FleetGateway::closed(protocol::ConnectionId connection) {
  post([this, connection] { process_->session.closed(connection); }, 0);
}

void FleetGateway::received(protocol::ConnectionId connection,
                            std::shared_ptr<const protocol::Message> message, std::size_t bytes) {
  post(
      [this, connection, message = std::move(message)] {
        if (const auto* body = std::get_if<registry::RegistryMessage>(message.get())) {
          process_->follower.messageReceived(connection, *body);
        }
      },
      bytes);
}

void FleetGateway::post(std::function<void()> input, std::size_t bytes) {
  if (!running()) {
    return;
  }
  processor_.post([this, input = std::move(input), bytes] {
    processor_.charge(messageTime(bytes));
    input();
    settle();
  });
}

void FleetGateway::settle() {
  process_->loop.runDeferred();
  scheduleWakeup();
}

void FleetGateway::scheduleWakeup() {
  const base::TimePoint next = process_->loop.next();
  if (next >= wakeupAt_) {
    return;
  }
  wakeupAt_ = next;
  scheduler_.at(next, [this, life = life_, next] {
    if (life != life_ || wakeupAt_ != next) {
      return;
    }
    wakeupAt_ = base::kNever;
    post([this] { process_->loop.runDue(); }, 0);
  });
}

}  // namespace walnut::simulator
