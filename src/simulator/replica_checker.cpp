/// @file
/// Points 1 and 2: what the engines hold against what the operators allowed and the machines have.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "simulator/oracle.h"

namespace walnut::simulator {

namespace {

using Place = std::pair<std::string, std::uint32_t>;  ///< Engine and accelerator.

/// A limit that operators have written, and from when to when it may have been in force.
struct Limit {
  std::string requestId;
  std::uint32_t maxReplicas = 0;
  base::TimePoint sentAt;
  base::TimePoint replacedAt = base::kNever;  ///< A later write was acknowledged then.
  resource::Version version = 0;              ///< 0: not acknowledged.
  bool refused = false;
};

class ReplicaChecker : public Checker {
 public:
  ReplicaChecker(ViolationLog& log, const OracleBounds& bounds) : log_(log), bounds_(bounds) {}

  void observe(base::TimePoint at, const HistoryEvent& event) override {
    if (const auto* sent = std::get_if<WriteSent>(&event)) {
      noteSent(at, *sent);
    } else if (const auto* acknowledged = std::get_if<WriteAcknowledged>(&event)) {
      noteAcknowledged(at, *acknowledged);
    } else if (const auto* refused = std::get_if<WriteRefused>(&event)) {
      noteRefused(*refused);
    } else if (const auto* holdings = std::get_if<EngineHoldings>(&event)) {
      noteHoldings(at, *holdings);
    } else if (const auto* died = std::get_if<EngineDied>(&event)) {
      forget(died->engine);
    }
  }

 private:
  void noteSent(base::TimePoint at, const WriteSent& sent) {
    if (sent.key.kind != resource::Kind::model || !requestsSeen_.insert(sent.requestId).second) {
      return;
    }
    Limit limit;
    limit.requestId = sent.requestId;
    limit.sentAt = at;
    if (sent.spec) {
      limit.maxReplicas = std::get<resource::ModelSpec>(*sent.spec).maxReplicas;
    }
    limits_[sent.key.name].push_back(limit);
  }

  void noteAcknowledged(base::TimePoint at, const WriteAcknowledged& acknowledged) {
    for (auto& [model, limits] : limits_) {
      const auto found = std::find_if(limits.begin(), limits.end(), [&](const Limit& limit) {
        return limit.requestId == acknowledged.requestId;
      });
      if (found == limits.end()) {
        continue;
      }
      found->version = acknowledged.version;
      for (Limit& limit : limits) {
        const bool older = limit.version != 0 && limit.version < acknowledged.version;
        if (older && limit.replacedAt == base::kNever) {
          limit.replacedAt = at;
        }
      }
      return;
    }
  }

  void noteRefused(const WriteRefused& refused) {
    for (auto& [model, limits] : limits_) {
      std::erase_if(limits,
                    [&](const Limit& limit) { return limit.requestId == refused.requestId; });
    }
  }

  /// @return the greatest limit that may have been in force when an order that arrives now was
  /// decided. Writes of unknown outcome count as in force.
  std::uint32_t allowed(base::TimePoint at, const std::string& model) const {
    std::uint32_t most = 0;
    const auto found = limits_.find(model);
    if (found == limits_.end()) {
      return 0;
    }
    for (const Limit& limit : found->second) {
      const bool over =
          limit.replacedAt != base::kNever && limit.replacedAt + bounds_.orderUnderWay < at;
      if (!over) {
        most = std::max(most, limit.maxReplicas);
      }
    }
    return most;
  }

  void noteHoldings(base::TimePoint at, const EngineHoldings& holdings) {
    std::map<resource::Servable, std::set<Place>> now;
    for (const engine::HeldServable& held : holdings.held) {
      if (held.state != engine::HeldState::failed) {
        now[held.servable].insert(Place{holdings.engine, held.accelerator.value});
      }
    }
    std::vector<resource::Servable> added;
    for (const auto& [servable, places] : now) {
      for (const Place& place : places) {
        if (!places_[servable].contains(place)) {
          added.push_back(servable);
        }
      }
    }
    forget(holdings.engine);
    for (const auto& [servable, places] : now) {
      places_[servable].insert(places.begin(), places.end());
    }
    for (const resource::Servable& servable : added) {
      const std::uint32_t limit = allowed(at, servable.model);
      if (places_[servable].size() > limit) {
        log_.add(at, Point::replicasAsDecided,
                 servable.model + "/" + servable.version + "/" + servable.adapter + " held " +
                     std::to_string(places_[servable].size()) + " times, allowed " +
                     std::to_string(limit));
      }
    }
  }

  void forget(const std::string& engine) {
    for (auto& [servable, places] : places_) {
      std::erase_if(places, [&](const Place& place) { return place.first == engine; });
    }
  }

  ViolationLog& log_;
  OracleBounds bounds_;
  std::map<std::string, std::vector<Limit>> limits_;  ///< By model.
  std::set<std::string> requestsSeen_;
  std::map<resource::Servable, std::set<Place>> places_;
};

class MemoryChecker : public Checker {
 public:
  explicit MemoryChecker(ViolationLog& log) : log_(log) {}

  void observe(base::TimePoint at, const HistoryEvent& event) override {
    if (const auto* violation = std::get_if<EngineViolation>(&event)) {
      log_.add(at, Point::memoryNeverOvercommitted, violation->engine + ": " + violation->what);
    } else if (const auto* holdings = std::get_if<EngineHoldings>(&event)) {
      checkSums(at, *holdings);
    }
  }

 private:
  void checkSums(base::TimePoint at, const EngineHoldings& holdings) {
    std::map<std::uint32_t, std::uint64_t> sums;
    for (const engine::HeldServable& held : holdings.held) {
      sums[held.accelerator.value] += held.bytes;
    }
    for (const auto& [accelerator, bytes] : sums) {
      const std::uint64_t capacity = accelerator < holdings.acceleratorBytes.size()
                                         ? holdings.acceleratorBytes[accelerator]
                                         : 0;
      if (bytes > capacity) {
        log_.add(at, Point::memoryNeverOvercommitted,
                 holdings.engine + " accelerator " + std::to_string(accelerator) + ": " +
                     std::to_string(bytes) + " bytes held of " + std::to_string(capacity));
      }
    }
  }

  ViolationLog& log_;
};

}  // namespace

std::unique_ptr<Checker> makeReplicaChecker(ViolationLog& log, const OracleBounds& bounds) {
  return std::make_unique<ReplicaChecker>(log, bounds);
}

std::unique_ptr<Checker> makeMemoryChecker(ViolationLog& log) {
  return std::make_unique<MemoryChecker>(log);
}

}  // namespace walnut::simulator
