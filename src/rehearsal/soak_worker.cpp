#include "rehearsal/soak_worker.h"

#include <algorithm>
#include <utility>

#include "platform/names.h"
#include "walnut/runtime/clock.h"

namespace walnut::rehearsal {

using std::chrono::milliseconds;

namespace {

constexpr base::Duration kHeartbeat = milliseconds(1200);
constexpr base::Duration kHeartbeatTimeout = std::chrono::seconds(1);
constexpr base::Duration kNextServer = milliseconds(100);
constexpr base::Duration kLoadFromStore = milliseconds(1500);
constexpr base::Duration kLoadFromDisk = milliseconds(600);
constexpr base::Duration kUnload = milliseconds(150);
constexpr base::Duration kAdapterLoad = milliseconds(200);
/// An order that gets no answer is carried out after some time between these.
constexpr base::Duration kLateOrderMin = std::chrono::seconds(2);
constexpr base::Duration kLateOrderMax = std::chrono::seconds(12);
constexpr base::Duration kPlainTime = milliseconds(30);
constexpr double kSlowShare = 0.3;  ///< Of plain requests, at slow workers.
constexpr std::size_t kFloodBytes = 64U << 10U;
constexpr base::Duration kFloodPause = milliseconds(1);
constexpr base::Duration kEventTime = milliseconds(40);
constexpr std::uint64_t kEvents = 6;
constexpr std::size_t kMaxAdaptersUnderWay = 4;
constexpr std::uint64_t kQueueLength = 3;  ///< Times the slots.
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kFenced = 412;
constexpr int kUnavailable = 503;

net::HttpResponse answerOf(int status, std::string body = {}) {
  net::HttpResponse response;
  response.head.status = status;
  response.body = std::move(body);
  return response;
}

/// @param offset of the machine's clock.
std::uint64_t nowMillis(base::Duration offset) {
  const auto now = std::chrono::system_clock::now().time_since_epoch() + offset;
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

}  // namespace

SoakWorker::SoakWorker(event::Dispatcher& dispatcher, SoakWorkerOptions options, std::uint64_t seed,
                       SoakAccount& account)
    : dispatcher_(dispatcher),
      options_(std::move(options)),
      random_(seed),
      account_(account),
      client_(dispatcher, net::ClientPoolOptions{}) {
  state_.id = options_.name;
  state_.service = std::string(options_.holdsModels ? platform::kStandinModelService
                                                    : platform::kStandinPlainService);
  state_.endpoint = options_.listen;
  state_.zone = options_.zone;
  state_.slots = options_.slots;
  state_.holdsModels = options_.holdsModels;
  state_.bornMillis = nowMillis(options_.clockOffset);
  servers_ = options_.servers;
  nextServer_ = random_.uniform(0, servers_.size() - 1);
}

SoakWorker::~SoakWorker() = default;

base::Result<void> SoakWorker::start() {
  BOOST_OUTCOME_TRY(server, net::HttpServer::open(dispatcher_, options_.hidden, {}, *this));
  server_ = std::move(server);
  BOOST_OUTCOME_TRY(proxy, LinkProxy::open(dispatcher_, options_.listen, options_.hidden));
  proxy_ = std::move(proxy);
  beat();
  return base::success();
}

void SoakWorker::restart(bool keepsName, const std::string& version) {
  ++life_;
  state_.softwareVersion = version;
  if (!keepsName) {
    state_.id = options_.name + "." + std::to_string(life_);
  }
  state_.bornMillis = nowMillis(options_.clockOffset);
  state_.orderCount = 0;
  state_.orderUnderWay = false;
  state_.models.clear();
  state_.pendingAdapters.clear();
  highestFence_ = 0;
  heartbeats_ = 0;
  active_ = 0;
  proxy_->closeAll();
  beat();
}

void SoakWorker::after(base::Duration delay, std::function<void()> task) {
  const std::uint64_t number = ++lastTimer_;
  timers_[number] = dispatcher_.createTimer([this, number, life = life_, run = std::move(task)] {
    event::TimerPtr timer = std::move(timers_[number]);
    timers_.erase(number);
    if (life == life_) {
      run();
    }
    dispatcher_.destroySoon(std::move(timer));
  });
  timers_[number]->enableAt(dispatcher_.now() + delay);
}

void SoakWorker::beat() {
  sendHeartbeat(
      [this](bool taken) { after(taken ? kHeartbeat : kNextServer, [this] { beat(); }); });
}

void SoakWorker::sendHeartbeat(std::function<void(bool taken)> done) {
  const base::Endpoint server = home_.value_or(servers_[nextServer_ % servers_.size()]);
  const net::HttpRequest request = platform::writeStandinHeartbeat(state_, ++heartbeats_);
  client_.call(server.address, server, request, kHeartbeatTimeout,
               [this, life = life_, done = std::move(done)](const net::CallOutcome& outcome) {
                 if (life != life_) {
                   return;
                 }
                 const bool taken = outcome.response && outcome.response.value().head.status == kOk;
                 if (taken) {
                   const auto home = platform::readHeartbeatHome(outcome.response.value().body);
                   home_ = home ? home : home_;
                 } else {
                   home_.reset();
                   ++nextServer_;
                 }
                 done(taken);
               });
}

SoakWorker::AnswerPtr SoakWorker::track(net::ResponseSink& sink) {
  auto answer = std::make_shared<Answer>();
  answer->sink = &sink;
  answer->life = life_;
  sink.setGoneCallback([answer] { answer->sink = nullptr; });
  return answer;
}

void SoakWorker::onRequest(net::HttpRequest request, net::ResponseSink& sink) {
  const std::string* target = request.headers.find(platform::kTargetHeader);
  if (target != nullptr && *target != state_.id) {
    net::HttpResponse response = answerOf(platform::kMisdirected);
    response.head.headers.add(std::string(platform::kNotExecutedHeader), "1");
    sink.respond(std::move(response));
  } else if (request.path() == platform::kReportPath) {
    sink.respond(answerOf(kOk, platform::writeStandinReport(state_)));
  } else if (request.path() == platform::kOrderPath) {
    takeOrder(request, sink);
  } else if (request.headers.find(platform::kRequestIdHeader) != nullptr) {
    serve(request, sink);
  } else {
    sink.respond(answerOf(kOk));
  }
}

void SoakWorker::takeOrder(const net::HttpRequest& request, net::ResponseSink& sink) {
  const auto order = platform::readStandinOrder(request.body);
  if (order.has_error()) {
    sink.respond(answerOf(kBadRequest));
    return;
  }
  account_.count("orders");
  if (random_.chance(options_.lateOrders)) {
    account_.count("late-orders");
    (void)track(sink);  // Its answer never comes.
    // It may reach the next life of a worker that keeps its name.
    const std::string name = state_.id;
    auto timer = std::make_shared<event::TimerPtr>();
    *timer = dispatcher_.createTimer([this, name, order = order.value(), timer] {
      if (name == state_.id) {
        (void)carryOut(order);
      }
      dispatcher_.destroySoon(std::move(*timer));
    });
    (*timer)->enableAt(dispatcher_.now() + random_.between(kLateOrderMin, kLateOrderMax));
    return;
  }
  sink.respond(answerOf(carryOut(order.value())));
}

platform::StandinModel* SoakWorker::find(const std::string& model) {
  const auto found = std::find_if(state_.models.begin(), state_.models.end(),
                                  [&model](const auto& held) { return held.name == model; });
  return found == state_.models.end() ? nullptr : &*found;
}

std::size_t SoakWorker::adapterCount() const {
  std::size_t count = state_.pendingAdapters.size();
  for (const platform::StandinModel& model : state_.models) {
    count += model.adapters.size();
  }
  return count;
}

/// @return the status of the answer.
int SoakWorker::carryOut(const platform::StandinOrder& order) {
  if (options_.fenced && order.fence < highestFence_) {
    return kFenced;
  }
  highestFence_ = std::max(highestFence_, order.fence);
  if (order.expectedCount != state_.orderCount) {
    return kConflict;
  }
  if (!order.adapter.empty()) {
    return orderAdapter(order);
  }
  const bool held = find(order.model) != nullptr;
  if (order.load == held) {
    return kOk;
  }
  if (state_.orderUnderWay) {
    return kConflict;
  }
  if (order.load && state_.models.size() >= options_.maxModels) {
    account_.violation("LIMIT", dispatcher_.now(),
                       state_.id + " is ordered to load " + order.model + " over its room");
  }
  state_.orderUnderWay = true;
  ++state_.orderCount;
  if (order.load) {
    const bool onDisk = state_.onDisk.count(order.model) != 0;
    after(onDisk ? kLoadFromDisk : kLoadFromStore,
          [this, model = order.model] { finishLoad(model); });
  } else {
    after(kUnload, [this, model = order.model] {
      std::erase_if(state_.models, [&model](const auto& each) { return each.name == model; });
      std::erase_if(state_.pendingAdapters, [&model](const std::string& each) {
        return each.substr(0, each.find('/')) == model;
      });
      state_.orderUnderWay = false;
      sendHeartbeat([](bool /*taken*/) {});
    });
  }
  return kAccepted;
}

void SoakWorker::finishLoad(const std::string& model) {
  state_.models.push_back({model, {}});
  state_.onDisk.insert(model);
  state_.orderUnderWay = false;
  sendHeartbeat([](bool /*taken*/) {});
}

int SoakWorker::orderAdapter(const platform::StandinOrder& order) {
  platform::StandinModel* const model = find(order.model);
  const std::string entry = order.model + "/" + order.adapter;
  const auto pending =
      std::find(state_.pendingAdapters.begin(), state_.pendingAdapters.end(), entry);
  if (model == nullptr) {
    return kConflict;
  }
  const bool held = model->adapters.count(order.adapter) != 0;
  if (!order.load) {
    state_.orderCount += held ? 1 : 0;
    model->adapters.erase(order.adapter);
    return kOk;
  }
  if (held || pending != state_.pendingAdapters.end()) {
    return kOk;
  }
  if (state_.pendingAdapters.size() >= kMaxAdaptersUnderWay) {
    return kConflict;
  }
  if (adapterCount() >= options_.adapterSlots) {
    account_.violation("LIMIT", dispatcher_.now(),
                       state_.id + " is ordered to load " + entry + " over its adapter slots");
  }
  ++state_.orderCount;
  state_.pendingAdapters.push_back(entry);
  after(kAdapterLoad, [this, entry, name = order.adapter, base = order.model] {
    const std::size_t before = state_.pendingAdapters.size();
    std::erase(state_.pendingAdapters, entry);
    platform::StandinModel* const owner = find(base);
    if (owner != nullptr && state_.pendingAdapters.size() < before) {
      owner->adapters.insert(name);
    }
  });
  return kAccepted;
}

/// Sends bytes that are neither an answer nor an event, until the gateway closes.
void SoakWorker::pour(const AnswerPtr& answer) {
  if (answer->sink == nullptr || answer->life != life_) {
    --active_;
    return;
  }
  if (answer->sink->bufferedBytes() == 0) {
    answer->sink->writeChunk(std::string(kFloodBytes, 'x'));
  }
  after(kFloodPause, [this, answer] { pour(answer); });
}

bool SoakWorker::holds(const std::string& target) const {
  const std::size_t slash = target.find('/');
  const std::string model = target.substr(0, slash);
  const std::string adapter = slash == std::string::npos ? "" : target.substr(slash + 1);
  return std::any_of(state_.models.begin(), state_.models.end(), [&](const auto& held) {
    return held.name == model && (adapter.empty() || held.adapters.count(adapter) != 0);
  });
}

void SoakWorker::serve(const net::HttpRequest& request, net::ResponseSink& sink) {
  const std::string id = *request.headers.find(platform::kRequestIdHeader);
  const std::string* model = request.headers.find(platform::kModelHeader);
  net::HttpResponse response;
  response.head.headers.set(platform::kRequestIdHeader, id);
  const bool misses = options_.holdsModels && (model == nullptr || !holds(*model));
  if (misses || active_ >= kQueueLength * options_.slots) {
    response.head.status = misses ? platform::kMisdirected : kUnavailable;
    response.head.headers.add(std::string(platform::kNotExecutedHeader), "1");
    sink.respond(std::move(response));
    return;
  }
  account_.count("runs");
  if (request.path().starts_with(platform::kStandinOncePrefix) &&
      !account_.runsFirst(request.body, dispatcher_.now())) {
    account_.violation("TWICE", dispatcher_.now(), "request " + id + " ran again");
  }
  response.head.status = kOk;
  response.head.headers.add(std::string(platform::kSealHeader), "seal of " + id);
  ++active_;
  const AnswerPtr answer = track(sink);
  if (floods_) {
    sink.beginChunked(response.head);
    pour(answer);
    return;
  }
  if (model != nullptr) {
    const std::uint64_t last = request.headers.findNumber(platform::kResumeHeader).value_or(0);
    sink.beginChunked(response.head);
    stream(answer, id, last + 1);
    return;
  }
  response.body = "answer to " + request.body;
  const bool isSlow = slowest_ > kPlainTime && random_.chance(kSlowShare);
  const base::Duration time = isSlow ? random_.between(kPlainTime, slowest_) : kPlainTime;
  after(time, [this, answer, response, body = request.body] {
    --active_;
    account_.runEnded(body, dispatcher_.now());
    if (answer->sink != nullptr) {
      answer->sink->respond(response);
    }
  });
}

void SoakWorker::stream(const AnswerPtr& answer, const std::string& id, std::uint64_t next) {
  after(kEventTime, [this, answer, id, next] {
    if (answer->sink == nullptr) {
      --active_;
      return;
    }
    if (next > kEvents) {
      --active_;
      answer->sink->endChunked();
      return;
    }
    answer->sink->writeChunk("id: " + std::to_string(next) + "\ndata: part " +
                             std::to_string(next) + " of " + state_.softwareVersion + "\n\n");
    stream(answer, id, next + 1);
  });
}

}  // namespace walnut::rehearsal
