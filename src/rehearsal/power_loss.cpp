#include "rehearsal/power_loss.h"

#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>

#include "storage/file_identity.h"

namespace walnut::rehearsal {

namespace {

namespace fs = std::filesystem;

std::string bytesOf(const fs::path& path) {
  std::ifstream input(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
}

/// @return identities by name.
std::map<std::string, std::string> presentNames(const fs::path& folder) {
  std::map<std::string, std::string> names;
  if (fs::exists(folder)) {
    for (const fs::directory_entry& entry : fs::directory_iterator(folder)) {
      if (const auto identity = storage::fileIdentity(entry.path().string())) {
        names[entry.path().filename().string()] = *identity;
      }
    }
  }
  return names;
}

std::map<std::string, std::string> durableNames(const fs::path& copyFolder) {
  std::map<std::string, std::string> names;
  std::istringstream lines(bytesOf(copyFolder / storage::kDurableNames));
  for (std::string identity, name; lines >> identity >> name;) {
    names[name] = identity;
  }
  return names;
}

/// Each name by itself is as before or as synced.
std::map<std::string, std::string> drawNames(const std::map<std::string, std::string>& present,
                                             const std::map<std::string, std::string>& durable,
                                             UnsyncedLoss loss, base::Random& random) {
  if (loss == UnsyncedLoss::all) {
    return durable;
  }
  std::set<std::string> all;
  for (const auto* names : {&present, &durable}) {
    for (const auto& [name, identity] : *names) {
      all.insert(name);
    }
  }
  std::map<std::string, std::string> drawn;
  for (const std::string& name : all) {
    const auto& from = random.chance(0.5) ? present : durable;
    const auto found = from.find(name);
    if (found != from.end()) {
      drawn.insert(*found);
    }
  }
  return drawn;
}

/// @return `present` with what was written behind `durable` kept, lost, torn or zero.
std::string drawBytes(const std::string& present, const std::string& durable,
                      base::Random& random) {
  if (present.size() <= durable.size() || present.compare(0, durable.size(), durable) != 0) {
    return random.chance(0.5) ? present : durable;
  }
  const std::size_t tail = present.size() - durable.size();
  const std::size_t kept = random.uniform(0, tail);
  std::string bytes = present.substr(0, durable.size() + kept);
  if (random.chance(0.3)) {
    bytes.replace(durable.size(), kept / 2, kept / 2, '\0');
  }
  return bytes;
}

}  // namespace

std::string losePower(const fs::path& folder, const fs::path& copyFolder, UnsyncedLoss loss,
                      base::Random& random) {
  const auto present = presentNames(folder);
  const auto durable = durableNames(copyFolder);
  std::map<std::string, std::string> presentBytes;
  for (const auto& [name, identity] : present) {
    presentBytes[identity] = bytesOf(folder / name);
  }
  std::map<std::string, std::string> after;
  std::ostringstream lost;
  for (const auto& [name, identity] : drawNames(present, durable, loss, random)) {
    const std::string synced = bytesOf(copyFolder / identity);
    const auto held = presentBytes.find(identity);
    const bool isDrawn = loss == UnsyncedLoss::drawn && held != presentBytes.end();
    after[name] = isDrawn ? drawBytes(held->second, synced, random) : synced;
  }
  for (const auto& [name, identity] : present) {
    const auto found = after.find(name);
    if (found == after.end()) {
      lost << " " << name << " (name)";
    } else if (found->second != presentBytes[identity]) {
      lost << " " << name << " (" << presentBytes[identity].size() << " to " << found->second.size()
           << " bytes)";
    }
  }
  for (const auto& [name, bytes] : after) {
    if (present.find(name) == present.end()) {
      lost << " " << name << " (is back)";
    }
  }
  fs::remove_all(folder);
  fs::remove_all(copyFolder);
  fs::create_directories(folder);
  fs::create_directories(copyFolder);
  std::ofstream names(copyFolder / storage::kDurableNames);
  for (const auto& [name, bytes] : after) {
    std::ofstream(folder / name, std::ios::binary) << bytes;
    const std::string identity = storage::fileIdentity((folder / name).string()).value_or(name);
    std::ofstream(copyFolder / identity, std::ios::binary) << bytes;
    names << identity << " " << name << "\n";
  }
  return lost.str();
}

}  // namespace walnut::rehearsal
