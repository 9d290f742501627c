#include "simulator/operator_client.h"

#include <set>
#include <utility>

namespace walnut::simulator {

namespace {

constexpr base::Duration kCallTimeout = std::chrono::seconds(6);
constexpr base::Duration kRetryMin = std::chrono::milliseconds(100);
constexpr base::Duration kRetryMax = std::chrono::milliseconds(900);

/// @return true if the error leaves open whether the write takes place, or says that it did not for
/// a reason that passes: it is to be sent again.
bool isTransient(base::ErrorCode code) {
  switch (code) {
    case base::ErrorCode::notLeader:
    case base::ErrorCode::noQuorum:
    case base::ErrorCode::outcomeUnknown:
    case base::ErrorCode::membershipChangePending:
    case base::ErrorCode::stopping:
    case base::ErrorCode::timedOut:
    case base::ErrorCode::connectFailed:
    case base::ErrorCode::connectionLost:
      return true;
    default:
      return false;
  }
}

resource::Version versionOf(const protocol::Change& change) {
  const auto* changed = std::get_if<protocol::ResourceChanged>(&change);
  return changed == nullptr ? 0 : changed->resource.version;
}

}  // namespace

OperatorClient::OperatorClient(Environment& environment, Fleet& fleet, const std::string& name,
                               const std::string& zone)
    : Process(environment.network, name, zone), environment_(environment), fleet_(fleet) {}

std::string OperatorClient::nextRequestId() {
  return name() + "-" + std::to_string(nextRequest_++);
}

void OperatorClient::call(const protocol::ApiRequest& request,
                          const std::function<void(std::optional<protocol::ApiReply>)>& done) {
  const std::size_t chosen = environment_.random().uniform(0, fleet_.controllers.size() - 1);
  ControllerNode* controller = fleet_.controllers[chosen].get();
  // The time-out or a reset may come between the answer and the end of the exchange.
  const auto ended = std::make_shared<bool>(false);
  const auto doneOnce = [done, ended](const std::optional<protocol::ApiReply>& reply) {
    if (!std::exchange(*ended, true)) {
      done(reply);
    }
  };
  const auto exchange = std::make_shared<Exchange>(
      network(), *this, controller->host(), [doneOnce](const std::optional<base::Error>& error) {
        if (error) {
          doneOnce(std::nullopt);
        }
      });
  environment_.exchanges.add(exchange);
  exchange->setTimeout(kCallTimeout);
  exchange->begin(
      controller, environment_.faults.operatorCalls, [controller, exchange, request, doneOnce] {
        controller->serveCall(request, [exchange, doneOnce](const protocol::ApiReply& reply) {
          exchange->reply([doneOnce, reply] { doneOnce(reply); });
          exchange->finish();
        });
      });
}

void OperatorClient::retryLater(std::function<void()> again) {
  scheduler().after(environment_.random().between(kRetryMin, kRetryMax), std::move(again));
}

void OperatorClient::put(resource::Resource declared, std::optional<resource::Version> expected,
                         const WriteDone& done) {
  control::PutResource put;
  put.requestId = nextRequestId();
  put.expectedVersion = expected;
  put.resource = std::move(declared);
  environment_.writtenKeys.insert(put.resource.key);
  environment_.observe(WriteSent{put.requestId, put.resource.key, expected, put.resource.spec});
  sendWrite(put.requestId, put, done);
}

void OperatorClient::remove(resource::Key key, std::optional<resource::Version> expected,
                            const WriteDone& done) {
  control::DeleteResource remove;
  remove.requestId = nextRequestId();
  remove.expectedVersion = expected;
  remove.key = std::move(key);
  environment_.writtenKeys.insert(remove.key);
  environment_.observe(WriteSent{remove.requestId, remove.key, expected, std::nullopt});
  sendWrite(remove.requestId, remove, done);
}

void OperatorClient::sendWrite(const std::string& requestId, const protocol::ApiRequest& request,
                               const WriteDone& done) {
  call(request, [this, requestId, request, done](std::optional<protocol::ApiReply> reply) {
    if (reply && !(reply->error && isTransient(reply->error->code))) {
      handleWriteReply(requestId, request, done, *reply);
      return;
    }
    ++environment_.counters.writes["resent"];
    retryLater([this, requestId, request, done] { sendWrite(requestId, request, done); });
  });
}

void OperatorClient::handleWriteReply(const std::string& requestId, const protocol::ApiRequest&,
                                      const WriteDone& done, const protocol::ApiReply& reply) {
  WriteResult result;
  result.currentVersion = reply.currentVersion;
  if (reply.error) {
    ++environment_.counters.writes[base::errorCodeName(reply.error->code)];
    environment_.observe(WriteRefused{requestId, reply.error->code});
  } else {
    ++environment_.counters.writes["acknowledged"];
    result.acknowledged = true;
    result.version = reply.version;
    environment_.observe(WriteAcknowledged{requestId, reply.version});
  }
  done(result);
}

void OperatorClient::changeMember(bool remove, const consensus::Member& member,
                                  const std::function<void()>& done) {
  protocol::ChangeMember change;
  change.requestId = nextRequestId();
  change.remove = remove;
  change.member = member;
  // Shared, because a try that must be repeated repeats itself.
  const auto send = std::make_shared<std::function<void()>>();
  *send = [this, change, done, send] {
    call(change, [this, change, done, send](std::optional<protocol::ApiReply> reply) {
      if (reply && !reply->error) {
        environment_.note(name(), std::string(change.remove ? "removed" : "added") + " server " +
                                      std::to_string(change.member.id.value));
        *send = nullptr;
        done();
        return;
      }
      if (reply && !isTransient(reply->error->code)) {
        environment_.note(name(), std::string("change of members refused: ") +
                                      base::errorCodeName(reply->error->code) + " " +
                                      reply->error->detail);
      }
      retryLater(*send);
    });
  };
  (*send)();
}

void OperatorClient::get(const resource::Key& key) {
  const base::TimePoint begun = scheduler().now();
  call(protocol::GetResource{key}, [this, key, begun](std::optional<protocol::ApiReply> reply) {
    if (!reply) {
      return;
    }
    if (!reply->error && !reply->resources.empty()) {
      const resource::Resource& found = reply->resources.front();
      environment_.observe(ResourceRead{begun, key, found.version, found.spec});
    } else if (reply->error && reply->error->code == base::ErrorCode::notFound) {
      environment_.observe(ResourceRead{begun, key, 0, std::nullopt});
    }
  });
}

void OperatorClient::list(const std::function<void(const std::vector<resource::Resource>&)>& done) {
  const base::TimePoint begun = scheduler().now();
  call(protocol::ListResources{}, [this, begun, done](std::optional<protocol::ApiReply> reply) {
    if (!reply || reply->error) {
      return;
    }
    observeList(begun, reply->resources);
    done(reply->resources);
  });
}

void OperatorClient::observeList(base::TimePoint begun,
                                 const std::vector<resource::Resource>& resources) {
  std::set<resource::Key> listed;
  for (const resource::Resource& found : resources) {
    listed.insert(found.key);
    environment_.observe(ResourceRead{begun, found.key, found.version, found.spec});
  }
  for (const resource::Key& key : environment_.writtenKeys) {
    if (!listed.contains(key)) {
      environment_.observe(ResourceRead{begun, key, 0, std::nullopt});
    }
  }
}

void OperatorClient::status(const std::function<void(const protocol::CellStatus&)>& done) {
  call(protocol::GetStatus{}, [done](std::optional<protocol::ApiReply> reply) {
    if (reply && !reply->error && reply->status) {
      done(*reply->status);
    }
  });
}

void OperatorClient::watch(resource::Version from) {
  ControllerNode* controller =
      fleet_.controllers[environment_.random().uniform(0, fleet_.controllers.size() - 1)].get();
  // The number tells apart the watches of all operators.
  const std::uint64_t watch = host() * 1'000'000 + nextWatch_++;
  const auto exchange = std::make_shared<Exchange>(network(), *this, controller->host(),
                                                   [](const std::optional<base::Error>&) {});
  environment_.exchanges.add(exchange);
  exchange->begin(
      controller, environment_.faults.operatorCalls, [this, controller, exchange, watch, from] {
        const auto call = std::make_shared<std::uint64_t>(0);
        exchange->setServerClosed([controller, call] { controller->closeWatch(*call); });
        *call = controller->openWatch(
            std::nullopt, from, [this, exchange, watch](const control::ApiWatchEvents& events) {
              exchange->reply([this, watch, events] {
                for (const protocol::Change& change : events.changes) {
                  if (const auto* changed = std::get_if<protocol::ResourceChanged>(&change)) {
                    environment_.observe(WatchSaw{watch, changed->resource.key, versionOf(change)});
                  }
                }
              });
              if (events.error) {
                exchange->finish();
              }
            });
      });
}

}  // namespace walnut::simulator
