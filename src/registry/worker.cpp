#include "walnut/registry/worker.h"

#include <Poco/NumberFormatter.h>
#include <xxhash.h>

#include <algorithm>

#include "base/archive.h"

namespace walnut::registry {

WorkerRecord WorkerRecord::storedOver(const WorkerRecord& held) const {
  WorkerRecord stored = *this;
  stored.leaving = stored.leaving || held.leaving;
  if (stored.softwareVersion.empty()) {
    stored.softwareVersion = held.softwareVersion;
  }
  return stored;
}

WorkerId workerIdOf(const std::string& name, std::uint64_t bornMillis) {
  return {bornMillis == 0 ? name : name + "#" + std::to_string(bornMillis)};
}

std::string limitText(const std::optional<double>& perSecond) {
  constexpr int kDecimals = 3;
  return perSecond ? Poco::NumberFormatter::format(*perSecond, kDecimals) : std::string("none");
}

const HeldModel* Holdings::find(const std::string& model) const {
  for (const HeldModel& held : models) {
    if (held.name == model) {
      return &held;
    }
  }
  return nullptr;
}

bool Holdings::holds(const std::string& model, const std::string& adapter) const {
  const HeldModel* held = find(model);
  if (held == nullptr) {
    return false;
  }
  return adapter.empty() ||
         std::find(held->adapters.begin(), held->adapters.end(), adapter) != held->adapters.end();
}

std::uint64_t hashOf(const Heartbeat& heartbeat) {
  const std::string bytes = base::encode(heartbeat.holdings);
  const std::uint64_t hash =
      XXH3_64bits_withSeed(bytes.data(), bytes.size(), heartbeat.holdingsKnown ? 1 : 0);
  return std::max<std::uint64_t>(hash, 1);
}

}  // namespace walnut::registry
