#include "simulator/serving_worker.h"

#include <algorithm>
#include <utility>

#include "simulator/received_stream.h"

namespace walnut::simulator {

namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
/// Ended requests are dropped from the list of running ones at this length.
constexpr std::size_t kMostKept = 64;
/// Between the two pieces of an event.
constexpr base::Duration kPieceGap = std::chrono::milliseconds(10);
/// Between two events of the answer to a request that is about to crash its worker.
constexpr base::Duration kCrashEventGap = std::chrono::milliseconds(20);
/// Path of requests that may run once.
constexpr const char* kOncePath = "/once/";

net::MessageHead makeHead(const ServingCall& call, int status, const char* field) {
  net::MessageHead head;
  head.status = status;
  head.headers.add("Id", requestId(call));
  head.headers.add(field, "1");
  return head;
}

/// Hands over the head of an answer.
void passHead(const ServingCall& call, int status, const char* field, const std::string& limit,
              net::ResponseCallbacks& callbacks) {
  net::MessageHead head = makeHead(call, status, field);
  if (!limit.empty()) {
    head.headers.add("Limit", limit);
    if (call.onLimit) {
      call.onLimit();
    }
  }
  callbacks.onResponseHead(std::move(head));
}

}  // namespace

registry::Heartbeat ServingWorker::heartbeat() {
  registry::Heartbeat heartbeat;
  heartbeat.worker = record_;
  heartbeat.sequence = ++sequence_;
  heartbeat.holdingsKnown = true;
  heartbeat.holdings = holdings_;
  return heartbeat;
}

registry::WorkerReport ServingWorker::report() const {
  return {holdings_, {}, orderUnderWay_, orderCount_, record_.bornMillis};
}

bool ServingWorker::holds(const std::string& model) const {
  return std::any_of(holdings_.models.begin(), holdings_.models.end(),
                     [&model](const auto& held) { return held.name == model; });
}

bool ServingWorker::hasCopy(const std::string& model) const {
  return std::find(holdings_.onDisk.begin(), holdings_.onDisk.end(), model) !=
         holdings_.onDisk.end();
}

registry::HeldModel* ServingWorker::find(const std::string& model) {
  const auto found = std::find_if(holdings_.models.begin(), holdings_.models.end(),
                                  [&model](const auto& held) { return held.name == model; });
  return found == holdings_.models.end() ? nullptr : &*found;
}

registry::OrderOutcome ServingWorker::order(const registry::SendOrder& order,
                                            std::function<void()> onChange) {
  if (order.expectedOrderCount != orderCount_ || orderUnderWay_) {
    return registry::OrderOutcome::busy;
  }
  return order.adapter.empty() ? orderModel(order, std::move(onChange)) : orderAdapter(order);
}

registry::OrderOutcome ServingWorker::orderModel(const registry::SendOrder& order,
                                                 std::function<void()> onChange) {
  if ((find(order.model) != nullptr) == order.load) {
    return registry::OrderOutcome::alreadyDone;
  }
  ++orderCount_;
  orderUnderWay_ = true;
  loading_ = order.load ? order.model : std::string();
  scheduler_.after(order.load ? options_.loadTime : options_.unloadTime,
                   [this, order, onChange = std::move(onChange)] {
                     if (!crashed_) {
                       finishModelOrder(order);
                       onChange();
                     }
                   });
  return registry::OrderOutcome::accepted;
}

void ServingWorker::finishModelOrder(const registry::SendOrder& order) {
  orderUnderWay_ = false;
  loading_.clear();
  if (!order.load) {
    std::erase_if(holdings_.models,
                  [&order](const auto& held) { return held.name == order.model; });
    return;
  }
  holdings_.models.push_back({order.model, 1, {}});
  remember(holdings_.onDisk, order.model);
}

void ServingWorker::remember(std::vector<std::string>& copies, const std::string& model) {
  if (std::find(copies.begin(), copies.end(), model) == copies.end()) {
    copies.push_back(model);
  }
}

registry::OrderOutcome ServingWorker::orderAdapter(const registry::SendOrder& order) {
  registry::HeldModel* const held = find(order.model);
  if (held == nullptr) {
    return registry::OrderOutcome::refused;
  }
  ++orderCount_;
  if (!order.load) {
    std::erase(held->adapters, order.adapter);
    return registry::OrderOutcome::accepted;
  }
  scheduler_.after(options_.adapterTime, [this, order] {
    if (registry::HeldModel* const model = find(order.model)) {
      remember(model->adapters, order.adapter);
    }
  });
  return registry::OrderOutcome::accepted;
}

void ServingWorker::receive(const std::shared_ptr<ServingCall>& call, const std::string& model,
                            const std::string& adapter, const InLoop& inLoop) {
  sendRepeated(call, inLoop);
  keepRunning(call, inLoop);
  if (options_.answerTravel > base::Duration::zero()) {
    call->answerTravel = scheduler_.random().between(base::Duration::zero(), options_.answerTravel);
  }
  switch (fault_) {
    case WorkerFault::none:
      break;
    case WorkerFault::errors:
      answer(options_.errorTime, call, inLoop, kInternalError, false);
      return;
    case WorkerFault::hang:
      return;
    case WorkerFault::reset:
      later(options_.errorTime, call, inLoop, [](auto& callbacks, const std::string&) {
        callbacks.onResponseFailure({base::ErrorCode::connectionLost, "", ""}, true);
      });
      return;
    case WorkerFault::full:
      answer(options_.errorTime, call, inLoop, kUnavailable, true);
      return;
    case WorkerFault::filling:
      if (isRejected()) {
        reject(call, inLoop);
        return;
      }
      break;
  }
  const registry::HeldModel* const held = find(model);
  const bool holds =
      model.empty() || (held != nullptr && (adapter.empty() || holdings_.holds(model, adapter)));
  if (!holds) {
    answer(options_.errorTime, call, inLoop, kMisdirected, true);
    return;
  }
  noteRun(*call);
  if (scheduler_.random().unit() < options_.strayErrors) {
    answer(options_.errorTime, call, inLoop, kInternalError, false);
  } else if (options_.events > 1) {
    serveEvents(call, inLoop);
  } else {
    serve(call, inLoop);
  }
}

void ServingWorker::noteRun(const ServingCall& call) {
  if (options_.account != nullptr && call.request.target.starts_with(kOncePath)) {
    options_.account->ran(requestId(call));
  }
}

/// Sends the answer that was to come once more on the connection of the call.
void ServingWorker::sendRepeated(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop) {
  const std::optional<net::MessageHead> repeated =
      std::exchange(call->connection->repeated, std::nullopt);
  if (!repeated) {
    return;
  }
  if (options_.account != nullptr) {
    options_.account->repeated();
  }
  later(base::Duration::zero(), call, inLoop,
        [call, head = *repeated](auto& callbacks, const std::string&) {
          if (callbacks.onResponseHead(head)) {
            callbacks.onResponseComplete();
          } else {
            call->connection->inDoubt = true;
          }
        });
}

bool ServingWorker::isRejected() {
  constexpr double kRejectedShare = 0.5;
  return scheduler_.random().chance(kRejectedShare);
}

void ServingWorker::reject(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop) {
  net::MessageHead head = makeHead(*call, kUnavailable, "Not-Run");
  if (!options_.rejectionsHaveId) {
    head.headers.remove("Id");
  }
  const bool twice = scheduler_.random().chance(options_.repeatedAnswers);
  later(options_.errorTime, call, inLoop, [call, head, twice](auto& callbacks, const std::string&) {
    if (twice) {
      call->connection->repeated = head;
    }
    callbacks.onResponseHead(head);
    callbacks.onResponseComplete();
  });
}

void ServingWorker::answer(base::Duration delay, const std::shared_ptr<ServingCall>& call,
                           const InLoop& inLoop, int status, bool notRun) {
  later(delay, call, inLoop, [status, notRun, call](auto& callbacks, const std::string& limit) {
    passHead(*call, status, notRun ? "Not-Run" : "Sealed", limit, callbacks);
    callbacks.onResponseComplete();
  });
}

void ServingWorker::serve(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop) {
  const auto head = [call](net::ResponseCallbacks& callbacks, const std::string& limit) {
    passHead(*call, kOk, "Sealed", limit, callbacks);
  };
  const auto event = [](net::ResponseCallbacks& callbacks, const std::string&) {
    callbacks.onResponseBody("id: 1\n\n");
  };
  if (options_.headTime > base::Duration::zero()) {
    later(options_.firstEventTime - options_.headTime, call, inLoop, head);
    later(options_.firstEventTime, call, inLoop, event);
  } else {
    later(options_.firstEventTime, call, inLoop,
          [head, event](net::ResponseCallbacks& callbacks, const std::string& limit) {
            head(callbacks, limit);
            event(callbacks, limit);
          });
  }
  later(options_.serviceTime, call, inLoop,
        [](auto& callbacks, const std::string&) { callbacks.onResponseComplete(); });
}

void ServingWorker::later(base::Duration delay, const std::shared_ptr<ServingCall>& call,
                          const InLoop& inLoop, Callback callback, std::function<void()> next) {
  schedule(delay, std::make_shared<Step>(
                      Step{call, inLoop, std::move(callback), std::move(next), scheduler_.now()}));
}

void ServingWorker::schedule(base::Duration delay, const std::shared_ptr<Step>& step) {
  scheduler_.after(delay, [this, step] {
    const std::shared_ptr<ServingCall>& call = step->call;
    if (call->cancelled || call->cutOff || crashed_) {
      return;
    }
    const base::Duration silent = silentSince(step->since);
    if (silent > base::Duration::zero()) {
      step->since = std::max(scheduler_.now(), silentUntil_);
      schedule(silent, step);
      return;
    }
    deliver(call, step->inLoop, [step, limit = limit_] {
      if (!step->call->cancelled) {
        step->callback(*step->call->callbacks, limit);
      }
    });
    if (step->next) {
      step->next();
    }
  });
}

void ServingWorker::silence(base::Duration duration) {
  const base::TimePoint now = scheduler_.now();
  silentFrom_ = now < silentUntil_ ? silentFrom_ : now;
  silentUntil_ = std::max(silentUntil_, now + duration);
}

/// @return how long of the time since then it was silent, or is going to be.
base::Duration ServingWorker::silentSince(base::TimePoint since) const {
  return std::max(base::Duration::zero(), silentUntil_ - std::max(silentFrom_, since));
}

/// A stream that is taken up begins after the event that the request names.
void ServingWorker::serveEvents(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop) {
  const std::uint64_t last = call->request.headers.findNumber("Resume").value_or(0);
  later(
      options_.firstEventTime, call, inLoop,
      [call](net::ResponseCallbacks& callbacks, const std::string& limit) {
        passHead(*call, kOk, "Sealed", limit, callbacks);
      },
      [this, last, call, inLoop] { sendEvent(last + 1, true, call, inLoop); });
}

void ServingWorker::sendEvent(std::uint64_t id, bool isFirst,
                              const std::shared_ptr<ServingCall>& call, const InLoop& inLoop) {
  if (id > options_.events) {
    later(base::Duration::zero(), call, inLoop,
          [](auto& callbacks, const std::string&) { callbacks.onResponseComplete(); });
    return;
  }
  const std::string event = streamEvent(id, record_.id.value, record_.softwareVersion);
  const auto piece = [](std::string text) {
    return [text = std::move(text)](net::ResponseCallbacks& callbacks, const std::string&) {
      callbacks.onResponseBody(text);
    };
  };
  const auto sendRest = [this, id, call, inLoop, rest = piece(event.substr(event.size() / 2))] {
    later(kPieceGap, call, inLoop, rest,
          [this, id, call, inLoop] { sendEvent(id + 1, false, call, inLoop); });
  };
  later(isFirst ? base::Duration::zero() : options_.eventGap - kPieceGap, call, inLoop,
        piece(event.substr(0, event.size() / 2)), sendRest);
}

void ServingWorker::deliver(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop,
                            const std::function<void()>& callback) {
  if (call->answerTravel == base::Duration::zero()) {
    inLoop(callback);
  } else {
    scheduler_.after(call->answerTravel, [inLoop, callback] { inLoop(callback); });
  }
}

void ServingWorker::receiveCrashing(const std::shared_ptr<ServingCall>& call,
                                    const std::string& model, bool showsHead, const InLoop& inLoop,
                                    std::function<void()> onCrash) {
  if (find(model) == nullptr) {
    answer(options_.errorTime, call, inLoop, kMisdirected, true);
    return;
  }
  keepRunning(call, inLoop);
  const base::Duration queued =
      scheduler_.random().between(base::Duration::zero(), options_.crashQueueTime);
  if (showsHead || options_.crashEvents > 0) {
    later(queued, call, inLoop, [call](auto& callbacks, const std::string& limit) {
      passHead(*call, kOk, "Sealed", limit, callbacks);
    });
  }
  const base::Duration answering = sendCrashEvents(queued, call, inLoop);
  scheduler_.after(answering + options_.crashTime, [this, call, onCrash = std::move(onCrash)] {
    if (!call->cancelled && !crashed_) {
      onCrash();
    }
  });
}

base::Duration ServingWorker::sendCrashEvents(base::Duration delay,
                                              const std::shared_ptr<ServingCall>& call,
                                              const InLoop& inLoop) {
  const std::uint64_t last = call->request.headers.findNumber("Resume").value_or(0);
  for (std::uint32_t event = 1; event <= options_.crashEvents; ++event) {
    delay += event == 1 ? base::Duration::zero() : kCrashEventGap;
    later(delay, call, inLoop,
          [text = "id: " + std::to_string(last + event) + "\n\n"](net::ResponseCallbacks& callbacks,
                                                                  const std::string&) {
            callbacks.onResponseBody(text);
          });
  }
  return delay;
}

void ServingWorker::keepRunning(const std::shared_ptr<ServingCall>& call, const InLoop& inLoop) {
  if (running_.size() >= kMostKept) {
    std::erase_if(running_, [](const Running& running) { return running.call->cancelled; });
  }
  running_.push_back({call, inLoop});
}

std::vector<std::shared_ptr<ServingCall>> ServingWorker::running() const {
  std::vector<std::shared_ptr<ServingCall>> calls;
  for (const Running& running : running_) {
    if (!running.call->cancelled) {
      calls.push_back(running.call);
    }
  }
  return calls;
}

std::size_t ServingWorker::crash() {
  crashed_ = true;
  std::size_t count = 0;
  for (const Running& running : std::exchange(running_, {})) {
    if (running.call->cancelled) {
      continue;
    }
    ++count;
    cut(running);
  }
  return count;
}

std::vector<std::shared_ptr<ServingCall>> ServingWorker::resetConnections(double share) {
  std::vector<std::shared_ptr<ServingCall>> calls;
  for (const Running& running : running_) {
    if (!running.call->cancelled && scheduler_.random().chance(share)) {
      running.call->cutOff = true;
      calls.push_back(running.call);
      cut(running);
    }
  }
  std::erase_if(running_, [](const Running& running) { return running.call->cutOff; });
  return calls;
}

/// Tells the gateway that the connection was lost.
void ServingWorker::cut(const Running& running) {
  running.inLoop([call = running.call] {
    if (!call->cancelled) {
      call->callbacks->onResponseFailure({base::ErrorCode::connectionLost, "", ""}, true);
    }
  });
}

}  // namespace walnut::simulator
