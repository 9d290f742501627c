#include "scale/hollow_routers.h"

#include <algorithm>
#include <string>
#include <utility>

#include "walnut/factories.h"
#include "walnut/runtime/clock.h"

namespace walnut::scale {

namespace {

constexpr base::Duration kPublishInterval = std::chrono::milliseconds(20);
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

struct HollowRouters::Node {
  NodeNumber number = 0;
  std::unique_ptr<routing::Router> router;
  std::unique_ptr<transport::Transport> transport;
  std::unique_ptr<daemon::ControllerLinks> links;
  base::TimePoint arrivalAt = base::kNever;
  base::TimePoint scheduledAt = base::kNever;
};

HollowRouters::HollowRouters(const HollowRoutersOptions& options) : options_(options) {
  thread_ = std::thread([this] { run(); });
}

HollowRouters::~HollowRouters() {
  inbox_.push(ShutDown{});
  thread_.join();
}

void HollowRouters::setCount(std::size_t routers) { inbox_.push(SetCount{routers}); }
void HollowRouters::setLoad(const HollowLoad& load) { inbox_.push(SetLoad{load}); }

HollowRouterStatus HollowRouters::status() const {
  const std::lock_guard lock(statusMutex_);
  return status_;
}

void HollowRouters::run() {
  while (!shutDown_) {
    base::TimePoint wakeup = publishAt_;
    wakeup = wakeups_.empty() ? wakeup : std::min(wakeup, wakeups_.begin()->first);
    wakeup = answers_.empty() ? wakeup : std::min(wakeup, answers_.begin()->first);
    const std::vector<Input> batch = inbox_.waitUntil(wakeup);
    now_ = runtime::now();
    for (const Input& input : batch) {
      std::visit([this](const auto& body) { take(body); }, input);
    }
    wakeDue();
    finishDue();
    if (now_ >= publishAt_) {
      publish();
    }
  }
  nodes_.clear();
}

void HollowRouters::take(const TransportEvent& input) {
  const auto found = nodes_.find(input.node);
  if (found == nodes_.end()) {
    return;
  }
  const auto routerInput = found->second->links->take(input.event);
  if (routerInput) {
    stepNode(*found->second, *routerInput);
  }
}

void HollowRouters::take(const SetCount& input) {
  while (nodes_.size() > input.routers) {
    Node& last = *nodes_.rbegin()->second;
    wakeups_.erase({last.scheduledAt, last.number});
    nodes_.erase(last.number);
  }
  while (nodes_.size() < input.routers) {
    addNode();
  }
}

void HollowRouters::take(const SetLoad& input) {
  load_ = input.load;
  for (auto& [number, node] : nodes_) {
    node->arrivalAt = load_.requestsPerSecond > 0 ? now_ : base::kNever;
    schedule(*node);
  }
}

void HollowRouters::addNode() {
  auto node = std::make_unique<Node>();
  const NodeNumber number = nextNode_++;
  node->number = number;
  routing::RouterOptions options;
  options.cell = kScaleCell;
  options.zone = options_.zones[number % options_.zones.size()];
  options.controllers = options_.controllers;
  options.tokenTimeout = 2 * options_.answer;
  transport::TransportOptions transportOptions;
  transportOptions.hello = {protocol::kProtocolVersion, protocol::PeerRole::router, kScaleCell,
                            number, options.zone};
  transportOptions.listen = false;
  auto transport = transport::makeTransport(transportOptions, [this, number](auto event) {
    inbox_.push(TransportEvent{number, std::move(event)});
  });
  if (transport.has_error()) {
    return;  // No more descriptors: the count stays below what was asked for.
  }
  node->transport = std::move(transport.value());
  node->links = std::make_unique<daemon::ControllerLinks>(*node->transport);
  node->router = routing::makeRouter(options, base::RouterId{number}, number, now_);
  node->arrivalAt = load_.requestsPerSecond > 0 ? now_ : base::kNever;
  Node& added = *nodes_.emplace(number, std::move(node)).first->second;
  stepNode(added, routing::Tick{});
}

void HollowRouters::stepNode(Node& node, const routing::RouterInput& input) {
  node.router->step(now_, input);
  for (routing::RouterAction& action : node.router->takeActions()) {
    carryOut(node, action);
  }
  schedule(node);
}

void HollowRouters::carryOut(Node& node, routing::RouterAction& action) {
  if (const auto* open = std::get_if<routing::OpenController>(&action)) {
    node.links->open(open->endpoint);
  } else if (const auto* close = std::get_if<routing::CloseController>(&action)) {
    node.links->close(close->endpoint);
  } else if (const auto* send = std::get_if<routing::SendToController>(&action)) {
    node.transport->send(send->connection, send->message);
  } else if (const auto* start = std::get_if<routing::StartAttempt>(&action)) {
    const engine::GenerateRequest& generate = start->generate;
    answers_.emplace(now_, Answer{node.number, engine::GenerateStarted{
                                                   generate.request, generate.attempt, {}, {}}});
    answers_.emplace(
        now_ + options_.answer,
        Answer{node.number,
               engine::GenerateEnded{
                   generate.request, generate.attempt, 0, engine::FinishReason::stop, {}}});
  } else if (std::holds_alternative<routing::CallerEnded>(action)) {
    ++answered_;
  } else if (std::holds_alternative<routing::CallerRefused>(action)) {
    ++refused_;
  }
}

void HollowRouters::schedule(Node& node) {
  const base::TimePoint at = std::min(node.router->nextWakeup(), node.arrivalAt);
  if (at == node.scheduledAt) {
    return;
  }
  wakeups_.erase({node.scheduledAt, node.number});
  node.scheduledAt = at;
  wakeups_.insert({at, node.number});
}

void HollowRouters::wakeDue() {
  while (!wakeups_.empty() && wakeups_.begin()->first <= now_) {
    Node& node = *nodes_.at(wakeups_.begin()->second);
    wakeups_.erase(wakeups_.begin());
    node.scheduledAt = base::kNever;
    if (node.arrivalAt <= now_) {
      arrive(node);
    } else {
      stepNode(node, routing::Tick{});
    }
  }
}

void HollowRouters::arrive(Node& node) {
  const double gap = kMicrosPerSecond / load_.requestsPerSecond;
  node.arrivalAt =
      now_ + base::Duration(static_cast<base::Duration::rep>(gap * 2 * random_.unit() + 1));
  routing::CallerRequest request;
  request.request = {"hollow-" + std::to_string(nextRequest_++)};
  request.target = targetName(options_.size, random_.uniform(0, load_.targets - 1));
  request.prompt = "Write a caption for the photo.";
  request.maxTokens = 1;
  stepNode(node, routing::CallerRequested{request});
}

void HollowRouters::finishDue() {
  while (!answers_.empty() && answers_.begin()->first <= now_) {
    const Answer answer = std::move(answers_.begin()->second);
    answers_.erase(answers_.begin());
    const auto found = nodes_.find(answer.node);
    if (found != nodes_.end()) {
      stepNode(*found->second, routing::EngineEvent{answer.event});
    }
  }
}

void HollowRouters::publish() {
  publishAt_ = now_ + kPublishInterval;
  HollowRouterStatus status;
  status.answered = answered_;
  status.refused = refused_;
  status.leastIndex = nodes_.empty() ? 0 : UINT64_MAX;
  for (const auto& [number, node] : nodes_) {
    const routing::RouterStatus one = node->router->status(now_);
    status.ready += one.ready ? 1 : 0;
    status.leastIndex = std::min(status.leastIndex, one.appliedIndex);
    const transport::TrafficCounters traffic = node->transport->counters();
    status.traffic.bytesSent += traffic.bytesSent;
    status.traffic.bytesReceived += traffic.bytesReceived;
    status.traffic.messagesSent += traffic.messagesSent;
    status.traffic.messagesReceived += traffic.messagesReceived;
  }
  const std::lock_guard lock(statusMutex_);
  status_ = status;
}

}  // namespace walnut::scale
