#include "rehearsal/soak.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

#include "rehearsal/soak_run.h"
#include "walnut/runtime/clock.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint16_t kFrontPort = 20101;
constexpr std::uint16_t kWorkerPort = 20104;
constexpr std::uint16_t kHiddenPort = 20105;
constexpr std::size_t kModels = 24;
constexpr std::size_t kAdapterModels = 3;  ///< The first models are also asked for by adapter.
constexpr std::size_t kAdaptersPerModel = 4;
/// Models whose adapters alone are asked for where many orders are wanted.
constexpr std::size_t kOrderModels = 12;

/// @name Times of a run
/// @{
constexpr base::Duration kStartLimit = seconds(20);  ///< For the first document.
constexpr base::Duration kWarmUp = seconds(6);
constexpr base::Duration kSendAgain = milliseconds(100);  ///< A document that was not taken.
constexpr base::Duration kCalm = seconds(6);  ///< Between the last drawn fault and the final one.
constexpr base::Duration kRecovery = seconds(12);  ///< Bound `recoveryS` of the deployments.
constexpr base::Duration kObserved = seconds(6);
constexpr base::Duration kClosing = seconds(7);  ///< For the requests that are under way.
/// @}

/// By which the time of day of a worker's machine may be wrong.
constexpr base::Duration kWrongestClock = seconds(2400);
constexpr double kMaxLateOrders = 0.5;  ///< Share of the orders.
constexpr double kLeastShare = 0.25;    ///< Of the rule RECOVER.
constexpr double kSparesShare = 0.3;    ///< Of the runs.

/// So that faults of hosts are drawn apart from all others.
constexpr std::uint64_t kHostsSeed = 0x9e3779b97f4a7c15ULL;

/// Loopback addresses of this process, so that soaks may run side by side.
std::string addressOf(std::size_t index) {
  constexpr int kFirst = 20;
  constexpr int kRange = 200;
  constexpr std::size_t kHosts = 250;
  const int pid = ::getpid();
  return "127." + std::to_string(kFirst + pid % kRange) + "." +
         std::to_string(static_cast<std::size_t>(pid / kRange % kRange) + index / kHosts) + "." +
         std::to_string(1 + index % kHosts);
}

}  // namespace

SoakRun::SoakRun(const SoakOptions& options, std::filesystem::path folder)
    : options_(options),
      folder_(std::move(folder)),
      random_(options.seed),
      limitsRandom_(~options.seed),
      hostsRandom_(options.seed ^ kHostsSeed),
      account_(dispatcher_.readClock()),
      operator_(dispatcher_, net::ClientPoolOptions{}) {
  SoakCellOptions cell;
  cell.binFolder = options_.binFolder;
  cell.folder = folder_;
  cell.fenced = random_.chance(0.5);
  for (std::size_t index = 0; index < options_.servers; ++index) {
    cell.servers.push_back(nextEndpoint(kControlPort));
  }
  for (std::size_t index = 0; index < options_.gateways; ++index) {
    cell.gateways.push_back(nextEndpoint(kFrontPort));
  }
  SoakClientsOptions clients;
  clients.gateways = cell.gateways;
  clients.requestsPerSecond = options_.requestsPerSecond;
  const double drawnLateOrders = random_.chance(0.5) ? random_.unit() * kMaxLateOrders : 0;
  const double lateOrders = options_.ordersOnly ? kMaxLateOrders : drawnLateOrders;
  const std::size_t workers = options_.modelWorkers + options_.plainWorkers;
  for (std::size_t index = 0; index < workers; ++index) {
    SoakWorkerOptions worker;
    worker.name = "worker-" + std::to_string(index);
    worker.listen = nextEndpoint(kWorkerPort);
    worker.hidden = {worker.listen.address, kHiddenPort};
    worker.zone = "zone-" + std::to_string(index % 3);
    worker.holdsModels = index < options_.modelWorkers;
    worker.fenced = cell.fenced;
    worker.lateOrders = lateOrders;
    worker.servers = cell.servers;
    if (options_.hosts) {
      worker.clockOffset =
          hostsRandom_.between(base::Duration::zero(), 2 * kWrongestClock) - kWrongestClock;
    }
    workers_.push_back(
        std::make_unique<SoakWorker>(dispatcher_, worker, random_.uniform(0, 1U << 30U), account_));
  }
  const SoakWorkerOptions defaults;
  document_.version = 0;
  document_.slots = defaults.slots;
  constexpr std::uint64_t kModelMb = 40000;
  document_.modelMb = kModelMb;
  document_.roomMb = kModelMb * defaults.maxModels + kModelMb / 2;
  document_.adapterMb = 1;
  document_.adapterSlots = defaults.adapterSlots;
  document_.adaptersPerModel = kAdaptersPerModel;
  for (std::size_t index = 0; index < kModels; ++index) {
    document_.models.push_back("model-" + std::to_string(index));
  }
  note(std::string("seed ") + std::to_string(options_.seed) +
       (cell.fenced ? ", fenced" : ", unfenced") + ", late orders " + std::to_string(lateOrders));
  cell_ = std::make_unique<SoakCell>(std::move(cell));
  clients.targets = targets();
  clients.countsTry = [this](std::size_t gateway, const std::string& version) {
    return countsTry(gateway, version);
  };
  clients_ = std::make_unique<SoakClients>(dispatcher_, std::move(clients),
                                           random_.uniform(0, 1U << 30U), account_);
}

base::Endpoint SoakRun::nextEndpoint(std::uint16_t port) { return {addressOf(addresses_++), port}; }

std::vector<std::string> SoakRun::targets() const {
  std::vector<std::string> targets;
  if (!options_.ordersOnly) {
    targets = document_.models;
  }
  const std::size_t models = options_.ordersOnly ? kOrderModels : kAdapterModels;
  for (std::size_t model = 0; model < models; ++model) {
    for (std::size_t adapter = 1; adapter <= kAdaptersPerModel; ++adapter) {
      targets.push_back(document_.models[model] + "/a" + std::to_string(adapter));
    }
  }
  return targets;
}

base::Result<void> SoakRun::startWorkers() {
  for (const auto& worker : workers_) {
    BOOST_OUTCOME_TRY(worker->start());
  }
  return base::success();
}

bool SoakRun::countsTry(std::size_t gateway, const std::string& version) const {
  const std::vector<SoakProcess>& processes = cell_->processes();
  const SoakProcess& process = processes.at(cell_->serverCount() + gateway);
  constexpr std::ptrdiff_t kLeastWorkers = 2;
  const std::ptrdiff_t workers =
      std::count_if(workers_.begin(), workers_.end(), [&version](const auto& worker) {
        return worker->holdsModels() && worker->softwareVersion() == version;
      });
  return process.lostUntil <= dispatcher_.now() && lostServers() == 0 &&
         (version.empty() || workers >= kLeastWorkers);
}

void SoakRun::openLink(const SoakProcess& server) {
  const std::string& address = server.endpoint.address;
  auto link = LinkProxy::open(dispatcher_, {address, kPeerPort}, {address, kPeerBindPort});
  if (link.has_error()) {
    account_.violation("ENDED", dispatcher_.now(), "no link to " + server.name);
    return;
  }
  serverLinks_[server.endpoint] = std::move(link.value());
}

void SoakRun::runFor(base::Duration duration) {
  constexpr base::Duration kLongestWait = milliseconds(20);
  const base::TimePoint end = dispatcher_.readClock() + duration;
  while (dispatcher_.readClock() < end) {
    dispatcher_.runOnce(kLongestWait);
    watchMemory();
    for (const std::string& name : cell_->takeUnexpectedEnds()) {
      account_.violation("ENDED", dispatcher_.now(), name + " ended by itself");
    }
  }
}

void SoakRun::after(base::Duration delay, std::function<void()> task) {
  const std::uint64_t number = ++lastTimer_;
  timers_[number] = dispatcher_.createTimer([this, number, run = std::move(task)] {
    event::TimerPtr timer = std::move(timers_[number]);
    timers_.erase(number);
    run();
    dispatcher_.destroySoon(std::move(timer));
  });
  timers_[number]->enableAt(dispatcher_.now() + delay);
}

void SoakRun::start(SoakProcess& process) {
  const base::TimePoint caughtUp = dispatcher_.readClock() + kCatchUp;
  process.lostUntil =
      process.lostUntil == base::kNever ? caughtUp : std::max(process.lostUntil, caughtUp);
  const auto started = cell_->start(process);
  if (started.has_error()) {
    account_.violation("ENDED", dispatcher_.now(),
                       process.name + " can't be started: " + started.error().detail);
  }
}

std::vector<SoakProcess*> SoakRun::draw(std::size_t most,
                                        const std::function<bool(SoakProcess&)>& of) {
  std::vector<SoakProcess*> candidates;
  for (SoakProcess& process : cell_->processes()) {
    if (of(process)) {
      candidates.push_back(&process);
    }
  }
  const std::size_t wanted = random_.uniform(1, std::min(most, candidates.size()));
  while (candidates.size() > wanted) {
    candidates.erase(candidates.begin() +
                     static_cast<std::ptrdiff_t>(random_.uniform(0, candidates.size() - 1)));
  }
  return candidates;
}

// The operator

void SoakRun::changeDocument() {
  ++document_.version;
  sendDocument(document_.version);
}

/// Sends the newest document until it is acknowledged.
void SoakRun::sendDocument(std::uint64_t version) {
  constexpr base::Duration kTimeout = milliseconds(1500);
  const base::Endpoint server = cell_->server(nextServer_++ % cell_->serverCount()).endpoint;
  operator_.call(server.address, server, platform::writeStandinDocument(document_), kTimeout,
                 [this, version](const net::CallOutcome& outcome) {
                   constexpr int kOk = 200;
                   if (outcome.response && outcome.response.value().head.status == kOk) {
                     acknowledgedVersion_ = std::max(acknowledgedVersion_, version);
                     note("version " + std::to_string(version) + " is acknowledged");
                   } else if (version == document_.version && acknowledgedVersion_ < version) {
                     after(kSendAgain, [this, version] { sendDocument(version); });
                   }
                 });
}

/// Reads the document until an answer comes.
/// @return false if the time for that is over.
bool SoakRun::checkDocument() {
  constexpr base::Duration kTimeout = seconds(1);
  constexpr int kMaxTries = 10;
  for (int attempt = 0; attempt < kMaxTries && readVersion_ == 0; ++attempt) {
    const base::Endpoint server = cell_->server(nextServer_++ % cell_->serverCount()).endpoint;
    operator_.call(server.address, server, platform::writeDocumentRead(), kTimeout,
                   [this](const net::CallOutcome& outcome) {
                     constexpr int kOk = 200;
                     if (outcome.response && outcome.response.value().head.status == kOk) {
                       const auto version =
                           platform::readDocumentVersion(outcome.response.value().body);
                       readVersion_ = version.has_value() ? version.value() : 0;
                     }
                   });
    runFor(milliseconds(500));
  }
  if (readVersion_ != 0 && readVersion_ < acknowledgedVersion_) {
    account_.violation("LOST", dispatcher_.now(),
                       "version " + std::to_string(acknowledgedVersion_) +
                           " was acknowledged, version " + std::to_string(readVersion_) +
                           " is read");
  }
  return readVersion_ != 0;
}

base::Result<SoakResult> SoakRun::run() {
  BOOST_OUTCOME_TRY(startWorkers());
  for (SoakProcess& process : cell_->processes()) {
    if (process.isServer) {
      openLink(process);
    }
    start(process);
  }
  changeDocument();
  const base::TimePoint begin = dispatcher_.readClock();
  while (acknowledgedVersion_ == 0 && dispatcher_.readClock() < begin + kStartLimit) {
    runFor(milliseconds(100));
  }
  if (acknowledgedVersion_ == 0) {
    account_.violation("START", dispatcher_.now(), "no server takes the first document");
  }
  clients_->start();
  runFor(kWarmUp);
  if (options_.limits) {
    runPlannedStops();
    waitUntilNoServerIsLost();
  }
  drawsFaults_ = true;
  drawFault();
  runFor(options_.faults);
  drawsFaults_ = false;
  runFor(kCalm);
  changeDocument();
  for (int step = 0; step < 60 && acknowledgedVersion_ < document_.version; ++step) {
    runFor(milliseconds(100));
  }
  waitUntilNoServerIsLost();
  if (!options_.ordersOnly && random_.chance(0.5)) {
    replaceBeforeFinalFault();
    waitUntilNoServerIsLost();
  }
  if (options_.hosts && hostsRandom_.chance(kSparesShare)) {
    startSpares();
  }
  if (options_.cycles > 0) {
    runSeries();
  } else {
    finalFault();
  }
  runFor(returnedAt_ + kRecovery + kObserved - dispatcher_.readClock());
  clients_->stop();
  runFor(kClosing);
  if (options_.hosts && options_.cycles == 0) {
    checkReadiness();
  }
  if (!checkDocument()) {
    account_.violation("RECOVER", dispatcher_.now(), "no server answers the operator");
  }
  SoakResult result;
  result.servedBefore = account_.servedShare(faultAt_ - kCalm, faultAt_);
  result.servedSoonAfter = account_.servedShare(returnedAt_, returnedAt_ + kRecovery);
  result.servedAfter =
      account_.servedShare(returnedAt_ + kRecovery, returnedAt_ + kRecovery + kObserved);
  if (result.servedBefore < kLeastShare) {
    account_.violation("START", dispatcher_.now(), "too little is served before the final fault");
  } else if (result.servedAfter < kLeastShare) {
    account_.violation("RECOVER", dispatcher_.now(), "too little is served after the return");
  }
  note(account_.describeTakeUps());
  if (account_.takesUpTooFew()) {
    account_.violation("LOST", dispatcher_.now(), account_.describeTakeUps());
  }
  result.passed = account_.passed();
  result.violations = account_.violations();
  result.notes = account_.notes();
  result.counts = account_.counts();
  result.counts["requests"] = account_.requestCount();
  result.counts["peak-mb-gateway"] = peakGatewayMb_;
  result.counts["peak-mb-server"] = peakServerMb_;
  for (SoakProcess& process : cell_->processes()) {
    cell_->kill(process);
  }
  return result;
}

base::Result<SoakResult> runSoak(const SoakOptions& options) {
  std::string pattern = (std::filesystem::temp_directory_path() / "walnut-soak-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    return base::Error{base::ErrorCode::fileError, pattern, "can't be created"};
  }
  SoakRun soak(options, pattern);
  BOOST_OUTCOME_TRY(result, soak.run());
  if (result.passed && !options.keepsLogs) {
    std::error_code ignored;  // What can't be removed stays in the folder of temporary files.
    std::filesystem::remove_all(pattern, ignored);
  } else {
    result.folder = pattern;
    std::ofstream record(std::filesystem::path(pattern) / "events.txt");
    for (const std::string& line : result.notes) {
      record << line << "\n";
    }
  }
  return result;
}

}  // namespace walnut::rehearsal
