#pragma once
/// @file
/// Table of all open requests of a router, with an ordered set of their timers.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "routing/request.h"

namespace walnut::routing {

/// Orders requests by arrival, so that the iteration order does not depend on addresses.
struct ByArrival {
  bool operator()(const Request* one, const Request* other) const {
    return one->sequence < other->sequence;
  }
};
using RequestSet = std::set<Request*, ByArrival>;

/// Owns the requests. All operations are at most logarithmic in the number of requests.
class RequestTable {
 public:
  /// @return the new record, or nullptr if the id is in use.
  Request* add(const CallerRequest& caller);
  Request* find(const base::RequestId& id);
  void erase(Request& request);
  std::size_t size() const { return requests_.size(); }
  /// @return the number of waiting requests by the servable that they are pinned to.
  std::map<resource::Servable, std::uint32_t> waitingByPinnedServable() const;

  /// Registers the earliest of the request's deadline, phaseDeadline and moveAt. Must be called
  /// after any of them changed.
  void arm(Request& request);
  /// @return the request whose timer is due first, or nullptr if none is due at `now`.
  Request* due(base::TimePoint now);
  base::TimePoint nextWakeup() const;

  /// Adds the request to those with an attempt on the engine, which are kept in order of arrival.
  void attach(Request& request, const base::EngineId& engine);
  void detach(Request& request, const base::EngineId& engine);
  std::set<base::EngineId> engines() const;
  std::vector<Request*> onEngine(const base::EngineId& engine) const;

 private:
  struct Timer {
    base::TimePoint at;
    Request* request;
    bool operator<(const Timer& other) const {
      return at != other.at ? at < other.at : request->sequence < other.request->sequence;
    }
  };

  /// Iterated only where the order does not matter, since it is not deterministic.
  std::unordered_map<base::RequestId, std::unique_ptr<Request>> requests_;
  std::set<Timer> timers_;
  std::map<base::EngineId, RequestSet> byEngine_;
  std::uint64_t nextSequence_ = 1;
};

}  // namespace walnut::routing
