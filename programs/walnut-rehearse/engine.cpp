/// @file
/// Subcommand engine: the stand-in engine.

#include <array>
#include <charconv>
#include <iostream>
#include <string_view>

#include "commands.h"
#include "rehearsal/engine_server.h"
#include "serve.h"
#include "walnut/runtime/clock.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

constexpr std::uint64_t kGiB = 1ULL << 30U;
constexpr std::uint64_t kMaxAcceleratorGib = 1U << 20U;

struct SabotageSwitch {
  std::string_view name;
  bool standin::EngineSabotage::*field;
};

constexpr std::array kSabotageSwitches = {
    SabotageSwitch{"obey-stale-orders", &standin::EngineSabotage::obeyStaleOrders},
    SabotageSwitch{"run-cancelled-attempts", &standin::EngineSabotage::runCancelledAttempts},
    SabotageSwitch{"cross-streams", &standin::EngineSabotage::crossStreams},
    SabotageSwitch{"drop-last-token", &standin::EngineSabotage::dropLastToken},
    SabotageSwitch{"deny-execution", &standin::EngineSabotage::denyExecution},
    SabotageSwitch{"load-without-order", &standin::EngineSabotage::loadWithoutOrder},
};

/// Flags as they are written.
struct EngineFlags {
  base::Endpoint listen{"127.0.0.1", 0};
  base::Endpoint store;
  std::string readyFile;
  std::string id = "engine-1";
  std::vector<std::string> acceleratorGib = {"24", "24"};
  std::int64_t maxRunning = 16;
  std::int64_t maxQueued = 64;
  std::vector<std::string> sabotage;
  standin::EngineModelOptions model;
};

base::Result<void> applySabotage(const std::vector<std::string>& names,
                                 standin::EngineSabotage& sabotage) {
  for (const std::string& name : names) {
    bool known = false;
    for (const SabotageSwitch& choice : kSabotageSwitches) {
      if (choice.name == name) {
        sabotage.*choice.field = true;
        known = true;
      }
    }
    if (!known) {
      return base::Error{base::ErrorCode::outOfRange, "sabotage", "unknown: " + name};
    }
  }
  return base::success();
}

base::Result<std::vector<std::uint64_t>> parseAccelerators(const std::vector<std::string>& texts) {
  std::vector<std::uint64_t> bytes;
  for (const std::string& text : texts) {
    std::uint64_t gib = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, gib);
    if (failure != std::errc() || rest != end || gib == 0 || gib > kMaxAcceleratorGib) {
      return base::Error{base::ErrorCode::outOfRange, "accelerator-gib", "'" + text + "'"};
    }
    bytes.push_back(gib * kGiB);
  }
  return bytes;
}

void declareFlags(runtime::Settings& settings, EngineFlags& flags) {
  settings.addEndpoint("listen", flags.listen, "address; port 0: picked by the kernel");
  settings.addEndpoint("store", flags.store, "weight store");
  settings.addString("ready-file", flags.readyFile, "written once the engine serves");
  settings.addString("id", flags.id, "name in the platform list");
  settings.addStringList("accelerator-gib", flags.acceleratorGib,
                         "memory of each accelerator, GiB");
  settings.addMillis("first-token-ms", flags.model.firstTokenDelay, 0, 600'000,
                     "delay of the first token");
  settings.addMillis("token-interval-ms", flags.model.tokenInterval, 0, 600'000,
                     "delay of each further token");
  settings.addInteger("max-running", flags.maxRunning, 1, 100'000, "attempts that run at once");
  settings.addInteger("max-queued", flags.maxQueued, 0, 100'000, "attempts that wait");
  settings.addStringList("cached-on-disk", flags.model.cachedOnDisk,
                         "checkpoints on the local disk at the start");
  settings.addStringList("sabotage", flags.sabotage,
                         "faults to plant: obey-stale-orders, run-cancelled-attempts, "
                         "cross-streams, drop-last-token, deny-execution, load-without-order");
}

base::Result<EngineServerOptions> optionsOf(const EngineFlags& flags) {
  EngineServerOptions options;
  options.listen = flags.listen;
  options.store = flags.store;
  options.model = flags.model;
  options.model.id = base::EngineId{flags.id};
  options.model.incarnation = base::Incarnation{runtime::randomSeed()};
  options.model.maxRunning = static_cast<std::uint32_t>(flags.maxRunning);
  options.model.maxQueued = static_cast<std::uint32_t>(flags.maxQueued);
  BOOST_OUTCOME_TRY(accelerators, parseAccelerators(flags.acceleratorGib));
  options.model.acceleratorBytes = std::move(accelerators);
  BOOST_OUTCOME_TRY(applySabotage(flags.sabotage, options.model.sabotage));
  if (options.store.port == 0) {
    return base::Error{base::ErrorCode::missingField, "store", "required"};
  }
  return options;
}

}  // namespace

int runEngine(int argc, char** argv) {
  EngineFlags flags;
  runtime::Settings settings("walnut-rehearse engine", "Stand-in engine.");
  declareFlags(settings, flags);
  const runtime::Settings::Parsed parsed = settings.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  const auto options = optionsOf(flags);
  if (!options) {
    failToStart(options.error());
    return static_cast<int>(runtime::ExitCode::usage);
  }
  holdStopSignals();
  const auto server = EngineServer::start(options.value());
  if (!server) {
    return failToStart(server.error());
  }
  return serveUntilStopped(server.value()->endpoint(), flags.readyFile);
}

}  // namespace walnut::rehearsal
