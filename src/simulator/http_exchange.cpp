#include "simulator/http_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace walnut::simulator {

namespace {
/// How long a client waits for a connection that nobody answers.
constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);
}  // namespace

Exchange::Exchange(Network& network, Process& client, HostIndex server,
                   std::function<void(std::optional<base::Error>)> onEnd)
    : network_(network),
      client_(client),
      clientLife_(client.life()),
      toServer_(std::make_shared<Pipe>(network, client.host(), server)),
      toClient_(std::make_shared<Pipe>(network, server, client.host())),
      onEnd_(std::move(onEnd)) {}

void Exchange::begin(Process* server, const ExchangeFaults& faults, std::function<void()> serve) {
  base::Random& random = network_.scheduler().random();
  const auto self = shared_from_this();
  const bool twoWay = network_.reachable(toServer_->from(), toServer_->to()) &&
                      network_.reachable(toServer_->to(), toServer_->from());
  if (server == nullptr || !twoWay) {
    network_.scheduler().after(kConnectTimeout, [self] {
      self->endClient(base::Error{base::ErrorCode::connectFailed, "", "no answer"});
    });
    return;
  }
  server_ = server;
  const bool refuse = random.chance(faults.refuse);
  const bool loseRequest = random.chance(faults.loseRequest);
  loseReply_ = random.chance(faults.loseReply);
  base::Duration late{0};
  if (random.chance(faults.delayRequest)) {
    late = random.between(base::Duration{0}, faults.delayMax);
  }
  toServer_->send([self, refuse, loseRequest, late, serve = std::move(serve)] {
    if (loseRequest) {
      self->reset();
      return;
    }
    self->network_.scheduler().after(late, [self, refuse, serve] {
      if (refuse || !self->server_->alive()) {
        self->toClient_->send([self] {
          self->endClient(base::Error{base::ErrorCode::connectFailed, "", "refused"});
        });
        return;
      }
      self->delivered_ = true;
      self->serverLife_ = self->server_->life();
      self->server_->post(self->serverLife_, serve);
    });
  });
}

void Exchange::reply(std::function<void()> deliver) {
  if (serverEnded_) {
    return;
  }
  if (loseReply_) {
    reset();
    return;
  }
  toClient_->send([self = shared_from_this(), deliver = std::move(deliver)] {
    if (self->clientEnded_) {
      return;
    }
    self->client_.post(self->clientLife_, [self, deliver] {
      if (!self->clientEnded_) {
        deliver();
      }
    });
  });
}

void Exchange::finish() {
  if (serverEnded_) {
    return;
  }
  serverEnded_ = true;
  toClient_->send([self = shared_from_this()] { self->endClient(std::nullopt); });
}

void Exchange::endClient(const std::optional<base::Error>& error) {
  if (clientEnded_) {
    return;
  }
  client_.post(clientLife_, [self = shared_from_this(), error] {
    if (self->clientEnded_) {
      return;
    }
    self->clientEnded_ = true;
    self->onEnd_(error);
  });
}

void Exchange::endServer() {
  if (serverEnded_) {
    return;
  }
  serverEnded_ = true;
  if (delivered_ && onServerClosed_) {
    server_->post(serverLife_, onServerClosed_);
  }
}

void Exchange::reset() {
  const base::Error lost{base::ErrorCode::connectionLost, "", "connection reset"};
  toClient_->send([self = shared_from_this(), lost] { self->endClient(lost); });
  toServer_->send([self = shared_from_this()] { self->endServer(); });
}

void Exchange::closeByClient() {
  if (clientEnded_) {
    return;
  }
  clientEnded_ = true;
  toServer_->send([self = shared_from_this()] { self->endServer(); });
}

void Exchange::setTimeout(base::Duration timeout) {
  network_.scheduler().after(timeout, [self = shared_from_this()] {
    if (self->clientEnded_) {
      return;
    }
    self->client_.post(self->clientLife_, [self] {
      if (self->clientEnded_) {
        return;
      }
      self->clientEnded_ = true;
      self->toServer_->send([self] { self->endServer(); });
      self->onEnd_(base::Error{base::ErrorCode::timedOut, "", "no answer in time"});
    });
  });
}

void ExchangeRegistry::add(const std::shared_ptr<Exchange>& exchange) {
  if (exchanges_.size() >= pruneAt_) {
    prune();
  }
  exchanges_[next_++] = exchange;
}

void ExchangeRegistry::prune() {
  std::erase_if(exchanges_, [](const auto& item) {
    const auto exchange = item.second.lock();
    return !exchange || !exchange->open();
  });
  pruneAt_ = std::max<std::size_t>(256, exchanges_.size() * 2);
}

void ExchangeRegistry::resetAll(HostIndex host) {
  prune();
  for (const auto& [number, weak] : exchanges_) {
    const auto exchange = weak.lock();
    if (exchange && exchange->brokenByDeathOf(host)) {
      exchange->reset();
    }
  }
}

bool ExchangeRegistry::resetOne(std::uint64_t choice) {
  prune();
  if (exchanges_.empty()) {
    return false;
  }
  auto chosen = exchanges_.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(choice % exchanges_.size()));
  const auto exchange = chosen->second.lock();
  if (!exchange) {
    return false;
  }
  exchange->reset();
  return true;
}

}  // namespace walnut::simulator
