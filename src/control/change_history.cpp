#include "control/change_history.h"

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>
#include <variant>

namespace walnut::control {

namespace {

struct MembershipObject {
  auto operator<=>(const MembershipObject&) const = default;
};

/// Object that a change concerns. Two changes of the same object coalesce.
using Object = std::variant<resource::Key, base::EngineId, base::ReplicaId, MembershipObject>;

Object objectOf(const protocol::Change& change) {
  return std::visit(
      [](const auto& body) -> Object {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, protocol::ResourceChanged>) {
          return body.resource.key;
        } else if constexpr (std::is_same_v<Body, protocol::ResourceDeleted>) {
          return body.key;
        } else if constexpr (std::is_same_v<Body, protocol::EngineChanged>) {
          return body.engine.id;
        } else if constexpr (std::is_same_v<Body, protocol::EngineRemoved>) {
          return body.engine;
        } else if constexpr (std::is_same_v<Body, protocol::ReplicaChanged>) {
          return body.replica.id;
        } else if constexpr (std::is_same_v<Body, protocol::ReplicaRemoved>) {
          return body.replica;
        } else {
          return MembershipObject{};
        }
      },
      change);
}

}  // namespace

void ChangeHistory::record(consensus::LogIndex index, std::vector<protocol::Change> changes) {
  for (protocol::Change& change : changes) {
    entries_.push_back({index, std::move(change)});
  }
  while (entries_.size() > keepChanges_) {
    forgottenUpTo_ = entries_.front().index;
    while (!entries_.empty() && entries_.front().index == forgottenUpTo_) {
      entries_.pop_front();
    }
  }
}

void ChangeHistory::startAt(consensus::LogIndex index) {
  entries_.clear();
  forgottenUpTo_ = index;
}

std::optional<std::vector<protocol::Change>> ChangeHistory::since(consensus::LogIndex from) const {
  if (from < forgottenUpTo_) {
    return std::nullopt;
  }
  const auto first =
      std::upper_bound(entries_.begin(), entries_.end(), from,
                       [](consensus::LogIndex index, const Entry& e) { return index < e.index; });
  std::vector<protocol::Change> changes;
  std::set<Object> seen;
  for (auto entry = entries_.end(); entry != first;) {
    --entry;
    if (seen.insert(objectOf(entry->change)).second) {
      changes.push_back(entry->change);
    }
  }
  std::reverse(changes.begin(), changes.end());
  return changes;
}

}  // namespace walnut::control
