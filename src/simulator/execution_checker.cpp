/// @file
/// Points 5 and 6: a refusal that says "not run" is true for ever, and a request that may not be
/// repeated is started at most once over all engines.

#include <map>
#include <set>
#include <string>

#include "simulator/oracle.h"

namespace walnut::simulator {

namespace {

class ExecutionChecker : public Checker {
 public:
  explicit ExecutionChecker(ViolationLog& log) : log_(log) {}

  void observe(base::TimePoint at, const HistoryEvent& event) override {
    if (const auto* issued = std::get_if<RequestIssued>(&event)) {
      if (!issued->idempotencyKey.empty()) {
        keys_[issued->request] = issued->idempotencyKey;
      }
    } else if (const auto* started = std::get_if<RunStarted>(&event)) {
      noteStarted(at, *started);
    } else if (const auto* refused = std::get_if<RequestRefused>(&event)) {
      noteRefused(at, *refused);
    }
  }

 private:
  void noteStarted(base::TimePoint at, const RunStarted& started) {
    startedRequests_.insert(started.request);
    if (deniedRequests_.contains(started.request)) {
      log_.add(at, Point::notRunIsTrue,
               "request " + started.request.value + " ran at " + started.engine +
                   " after it was refused as not run");
    }
    const auto key = keys_.find(started.request);
    if (key == keys_.end() || started.importedState) {
      return;
    }
    const std::uint32_t starts = ++startsOfKey_[key->second];
    if (starts > 1) {
      log_.add(at, Point::atMostOnce,
               "key " + key->second + " was started " + std::to_string(starts) +
                   " times, last as " + started.request.value + " at " + started.engine);
    }
  }

  void noteRefused(base::TimePoint at, const RequestRefused& refused) {
    if (refused.executed != routing::Executed::no) {
      return;
    }
    deniedRequests_.insert(refused.request);
    if (startedRequests_.contains(refused.request)) {
      log_.add(at, Point::notRunIsTrue,
               "request " + refused.request.value + " was refused as not run (" +
                   base::errorCodeName(refused.code) + ") but an engine had started it");
    }
  }

  ViolationLog& log_;
  std::map<base::RequestId, std::string> keys_;
  std::set<base::RequestId> startedRequests_;
  std::set<base::RequestId> deniedRequests_;
  std::map<std::string, std::uint32_t> startsOfKey_;
};

}  // namespace

std::unique_ptr<Checker> makeExecutionChecker(ViolationLog& log) {
  return std::make_unique<ExecutionChecker>(log);
}

}  // namespace walnut::simulator
