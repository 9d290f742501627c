/// @file
/// Point 9 as operators see it: an acknowledged write is never lost or reverted, of racing writes
/// with equal expected versions one wins, a resend gets the first answer, reads and watches never
/// go back.

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "simulator/oracle.h"

namespace walnut::simulator {

namespace {

struct WriteRecord {
  WriteSent sent;
  std::optional<resource::Version> version;
  base::TimePoint acknowledgedAt;
  bool refused = false;
};

/// The greatest version of a key that an earlier observation must still show, and since when.
struct Observed {
  base::TimePoint at;
  resource::Version version = 0;
};

class ConfigurationChecker : public Checker {
 public:
  explicit ConfigurationChecker(ViolationLog& log) : log_(log) {}

  void observe(base::TimePoint at, const HistoryEvent& event) override {
    if (const auto* sent = std::get_if<WriteSent>(&event)) {
      WriteRecord& record = writes_[sent->requestId];
      record.sent = *sent;
      writesOfKey_[sent->key].insert(sent->requestId);
    } else if (const auto* acknowledged = std::get_if<WriteAcknowledged>(&event)) {
      noteAcknowledged(at, *acknowledged);
    } else if (const auto* refused = std::get_if<WriteRefused>(&event)) {
      noteRefused(at, *refused);
    } else if (const auto* read = std::get_if<ResourceRead>(&event)) {
      noteRead(at, *read);
    } else if (const auto* saw = std::get_if<WatchSaw>(&event)) {
      noteWatch(at, *saw);
    }
  }

 private:
  static std::string describe(const resource::Key& key) {
    return "resource " + std::to_string(static_cast<int>(key.kind)) + "/" + key.name;
  }

  void add(base::TimePoint at, std::string what) {
    log_.add(at, Point::configurationInForce, std::move(what));
  }

  void noteAcknowledged(base::TimePoint at, const WriteAcknowledged& acknowledged) {
    WriteRecord& record = writes_[acknowledged.requestId];
    if (record.refused) {
      add(at, "write " + acknowledged.requestId + " was refused, then acknowledged");
    }
    if (record.version) {
      if (*record.version != acknowledged.version) {
        add(at, "write " + acknowledged.requestId + " was acknowledged as two versions");
      }
      return;
    }
    record.version = acknowledged.version;
    record.acknowledgedAt = at;
    for (const std::string& other : writesOfKey_[record.sent.key]) {
      checkRace(at, record, writes_[other]);
    }
    observed_[record.sent.key].push_back(Observed{at, acknowledged.version});
  }

  void checkRace(base::TimePoint at, const WriteRecord& record, const WriteRecord& other) {
    if (other.sent.requestId == record.sent.requestId || !other.version) {
      return;
    }
    if (*other.version == *record.version) {
      add(at, describe(record.sent.key) + ": two writes got version " +
                  std::to_string(*record.version));
    }
    if (record.sent.expectedVersion && other.sent.expectedVersion == record.sent.expectedVersion) {
      // A deletion lets the same name be created anew: expecting "none" can win again.
      if (*record.sent.expectedVersion != 0) {
        add(at, describe(record.sent.key) + ": two writes won with expected version " +
                    std::to_string(*record.sent.expectedVersion));
      }
    }
  }

  void noteRefused(base::TimePoint at, const WriteRefused& refused) {
    WriteRecord& record = writes_[refused.requestId];
    if (record.version) {
      add(at, "write " + refused.requestId + " was acknowledged, then refused");
    }
    record.refused = true;
  }

  /// @return the greatest version of the key that was known before `time`.
  resource::Version knownBefore(const resource::Key& key, base::TimePoint time) const {
    resource::Version greatest = 0;
    const auto found = observed_.find(key);
    if (found != observed_.end()) {
      for (const Observed& observed : found->second) {
        if (observed.at < time) {
          greatest = std::max(greatest, observed.version);
        }
      }
    }
    return greatest;
  }

  bool mayBeDeletedAfter(const resource::Key& key, resource::Version version) const {
    const auto found = writesOfKey_.find(key);
    return found != writesOfKey_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const std::string& id) {
             const WriteRecord& record = writes_.at(id);
             const bool open = !record.version && !record.refused;
             return !record.sent.spec && (open || (record.version && *record.version >= version));
           });
  }

  bool mayHoldSpec(const ResourceRead& read) const {
    const auto found = writesOfKey_.find(read.key);
    return found != writesOfKey_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const std::string& id) {
             const WriteRecord& record = writes_.at(id);
             const bool matches =
                 record.version ? *record.version == read.version : !record.refused;
             return matches && record.sent.spec == read.spec;
           });
  }

  void noteRead(base::TimePoint at, const ResourceRead& read) {
    const resource::Version known = knownBefore(read.key, read.begun);
    if (read.version == 0) {
      if (known != 0 && !mayBeDeletedAfter(read.key, known)) {
        add(at, describe(read.key) + ": version " + std::to_string(known) + " has vanished");
      }
      return;
    }
    if (read.version < known) {
      add(at, describe(read.key) + ": read version " + std::to_string(read.version) +
                  " after version " + std::to_string(known));
    }
    if (!mayHoldSpec(read)) {
      add(at, describe(read.key) + ": version " + std::to_string(read.version) +
                  " has contents that nobody wrote as that version");
    }
    if (read.version > known) {
      observed_[read.key].push_back(Observed{at, read.version});
    }
  }

  void noteWatch(base::TimePoint at, const WatchSaw& saw) {
    resource::Version& last = watched_[{saw.watch, saw.key}];
    if (saw.version <= last) {
      add(at, describe(saw.key) + ": a watch went back from version " + std::to_string(last) +
                  " to " + std::to_string(saw.version));
    }
    last = std::max(last, saw.version);
  }

  ViolationLog& log_;
  std::map<std::string, WriteRecord> writes_;
  std::map<resource::Key, std::set<std::string>> writesOfKey_;
  std::map<resource::Key, std::vector<Observed>> observed_;
  std::map<std::pair<std::uint64_t, resource::Key>, resource::Version> watched_;
};

}  // namespace

std::unique_ptr<Checker> makeConfigurationChecker(ViolationLog& log) {
  return std::make_unique<ConfigurationChecker>(log);
}

}  // namespace walnut::simulator
