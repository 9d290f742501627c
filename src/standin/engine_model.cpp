/// The stand-in engine: fencing over accelerators, batch and prefix cache.
#include <algorithm>
#include <deque>
#include <utility>

#include "standin/accelerators.h"
#include "standin/batch.h"
#include "standin/held_states.h"
#include "standin/prefix_cache.h"
#include "walnut/standin/engine.h"

namespace walnut::standin {

namespace {

/// Exports kept until they are fetched; the oldest goes.
constexpr std::size_t kKeptExports = 64;

class EngineModelImpl : public EngineModel {
 public:
  explicit EngineModelImpl(const EngineModelOptions& options)
      : options_(options),
        accelerators_(options),
        batch_(options, accelerators_, prefixes_),
        heldStates_(options) {}

  engine::CallResult call(base::TimePoint now, const engine::Call& call) override;
  void generate(base::TimePoint now, const engine::GenerateRequest& request) override;
  void cancel(base::TimePoint now, const engine::CancelRequest& request) override;
  engine::ExportResult exportKv(base::TimePoint now, const engine::ExportRequest& request) override;
  base::Result<HoldPlace> beginHold(base::TimePoint now,
                                    const engine::HoldRequest& request) override;
  bool endHold(base::TimePoint now, const std::string& handle, bool fetched) override;
  std::size_t heldStates() const override { return heldStates_.size(); }
  bool importKv(base::TimePoint now, const std::string& handle) override;
  void storeRead(base::TimePoint now, const StoreRead& read) override;
  void tick(base::TimePoint now) override { advance(now); }
  void setLeaving(bool leaving) override { leaving_ = leaving; }
  std::vector<EngineAction> takeActions() override { return std::exchange(actions_, {}); }
  std::vector<engine::CacheEvent> cacheEvents(std::uint64_t after) const override {
    return prefixes_.events(after);
  }
  base::TimePoint nextWakeup() const override;
  const std::vector<Violation>& violations() const override { return violations_; }
  std::vector<engine::HeldServable> held() const override { return accelerators_.held(); }

 private:
  engine::CallResult order(base::TimePoint now, const engine::Order& order);
  engine::CallResult report(base::TimePoint now, const engine::ReportRequest& request);
  void advance(base::TimePoint now);
  void collect(base::TimePoint now);

  EngineModelOptions options_;
  Accelerators accelerators_;
  PrefixCache prefixes_;
  Batch batch_;
  HeldStates heldStates_;
  engine::FencingToken greatest_;  ///< Never decreases.
  bool leaving_ = false;
  std::deque<std::string> exports_;
  std::vector<EngineAction> actions_;
  std::vector<Violation> violations_;
};

engine::CallResult EngineModelImpl::call(base::TimePoint now, const engine::Call& call) {
  advance(now);
  engine::CallResult result = std::holds_alternative<engine::Order>(call)
                                  ? order(now, std::get<engine::Order>(call))
                                  : report(now, std::get<engine::ReportRequest>(call));
  collect(now);
  return result;
}

engine::CallResult EngineModelImpl::order(base::TimePoint now, const engine::Order& order) {
  if (order.incarnation != options_.incarnation) {
    return base::Error{base::ErrorCode::wrongIncarnation, "incarnation",
                       "this is " + std::to_string(options_.incarnation.value)};
  }
  if (order.token <= greatest_ && !options_.sabotage.obeyStaleOrders) {
    return base::Error{
        base::ErrorCode::staleOrder, "token",
        "greatest is " + std::to_string(greatest_.term) + "." + std::to_string(greatest_.sequence)};
  }
  greatest_ = std::max(greatest_, order.token);
  if (order.action == engine::OrderAction::unload) {
    accelerators_.unload(now, order);
    return engine::CallResult(engine::OrderAccepted{greatest_});
  }
  if (leaving_) {
    return base::Error{base::ErrorCode::engineLeaving, "", "the engine takes no new work"};
  }
  auto loaded = accelerators_.load(now, order);
  if (loaded.has_error()) {
    return loaded.error();
  }
  return engine::CallResult(engine::OrderAccepted{greatest_});
}

/// A request of an older term is refused, so that a leader that was replaced learns of it. Within a
/// term a late request is answered: it carries nothing that could be obeyed too late.
engine::CallResult EngineModelImpl::report(base::TimePoint now,
                                           const engine::ReportRequest& request) {
  if (request.token.term < greatest_.term && !options_.sabotage.obeyStaleOrders) {
    return base::Error{base::ErrorCode::staleOrder, "token",
                       "greatest term is " + std::to_string(greatest_.term)};
  }
  greatest_ = std::max(greatest_, request.token);
  engine::Report report;
  report.incarnation = options_.incarnation;
  report.greatestToken = greatest_;
  report.leaving = leaving_;
  report.load = batch_.reportedLoad(now);
  report.acceleratorBytes = options_.acceleratorBytes;
  report.held = accelerators_.held();
  report.cached = accelerators_.cached();
  return engine::CallResult(std::move(report));
}

void EngineModelImpl::generate(base::TimePoint now, const engine::GenerateRequest& request) {
  advance(now);
  batch_.submit(now, request, leaving_);
  collect(now);
}

void EngineModelImpl::cancel(base::TimePoint now, const engine::CancelRequest& request) {
  advance(now);
  batch_.cancel(now, request);
  heldStates_.cancel(request);
  collect(now);
}

engine::ExportResult EngineModelImpl::exportKv(base::TimePoint now,
                                               const engine::ExportRequest& request) {
  advance(now);
  engine::ExportResult result = batch_.exportKv(now, request);
  if (result.has_value()) {
    exports_.push_back(result.value().handle);
    if (exports_.size() > kKeptExports) {
      exports_.pop_front();
    }
  }
  collect(now);
  return result;
}

base::Result<HoldPlace> EngineModelImpl::beginHold(base::TimePoint now,
                                                   const engine::HoldRequest& request) {
  advance(now);
  if (leaving_) {
    return base::Error{base::ErrorCode::engineLeaving, "", "the engine takes no new work"};
  }
  return heldStates_.begin(now, request);
}

bool EngineModelImpl::endHold(base::TimePoint now, const std::string& handle, bool fetched) {
  advance(now);
  return heldStates_.end(handle, fetched);
}

bool EngineModelImpl::importKv(base::TimePoint now, const std::string& handle) {
  advance(now);
  if (heldStates_.take(handle)) {
    return true;
  }
  const auto found = std::find(exports_.begin(), exports_.end(), handle);
  if (found == exports_.end()) {
    return false;
  }
  exports_.erase(found);
  return true;
}

void EngineModelImpl::storeRead(base::TimePoint now, const StoreRead& read) {
  advance(now);
  accelerators_.storeRead(now, read);
  collect(now);
}

/// The batch may finish what an unload waits for, so the accelerators come last as well.
void EngineModelImpl::advance(base::TimePoint now) {
  accelerators_.advance(now);
  batch_.advance(now);
  accelerators_.advance(now);
  heldStates_.advance(now);
  collect(now);
}

void EngineModelImpl::collect(base::TimePoint now) {
  for (engine::GenerateEvent& event : batch_.takeEvents()) {
    actions_.emplace_back(std::move(event));
  }
  for (ReadFromStore& read : accelerators_.takeReads()) {
    actions_.emplace_back(std::move(read));
  }
  for (const resource::Servable& servable : accelerators_.takeUnloaded()) {
    prefixes_.drop(now, servable);
  }
  prefixes_.advance(now);
  for (Violation& violation : batch_.takeViolations()) {
    violations_.push_back(std::move(violation));
  }
  for (Violation& violation : accelerators_.takeViolations()) {
    violations_.push_back(std::move(violation));
  }
}

base::TimePoint EngineModelImpl::nextWakeup() const {
  return std::min({accelerators_.nextWakeup(), batch_.nextWakeup(), prefixes_.nextWakeup(),
                   heldStates_.nextWakeup()});
}

}  // namespace

std::unique_ptr<EngineModel> makeEngineModel(const EngineModelOptions& options) {
  return std::make_unique<EngineModelImpl>(options);
}

}  // namespace walnut::standin
