/// @file
/// Subcommand store: the stand-in weight store.

#include "commands.h"
#include "rehearsal/store_server.h"
#include "serve.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

constexpr double kGiB = 1024.0 * 1024.0 * 1024.0;

}  // namespace

int runStore(int argc, char** argv) {
  base::Endpoint listen{"127.0.0.1", 0};
  std::string readyFile;
  double loadsPerSecond = 2;
  std::int64_t fullSpeedStreams = 8;
  double gibPerSecond = 2;
  runtime::Settings settings("walnut-rehearse store", "Stand-in weight store.");
  settings.addEndpoint("listen", listen, "address; port 0: picked by the kernel");
  settings.addString("ready-file", readyFile, "written once the store serves");
  settings.addReal("loads-per-second", loadsPerSecond, 0.01, 1e6, "reads begun a second");
  settings.addInteger("full-speed-streams", fullSpeedStreams, 1, 10'000,
                      "concurrent reads at full speed; more share its bandwidth");
  settings.addReal("stream-gib-per-second", gibPerSecond, 0.001, 1e6,
                   "speed of one read, GiB a second");
  const runtime::Settings::Parsed parsed = settings.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  standin::WeightStoreOptions options;
  options.loadsPerSecond = loadsPerSecond;
  options.fullSpeedStreams = static_cast<std::uint32_t>(fullSpeedStreams);
  options.bytesPerSecond = static_cast<std::uint64_t>(gibPerSecond * kGiB);
  holdStopSignals();
  const auto server = StoreServer::start(listen, options);
  if (!server) {
    return failToStart(server.error());
  }
  return serveUntilStopped(server.value()->endpoint(), readyFile);
}

}  // namespace walnut::rehearsal
