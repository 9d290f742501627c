#pragma once
/// @file
/// A service behind a slow weight store, with callers that arrive at times given by the test. The
/// placement policy, the demand book and the announcer of late models are those of the leader; the
/// harness has the part of the gateways, the callers and the workers. Nothing is drawn.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "registry/late_model_announcer.h"
#include "registry/placement.h"

namespace walnut::registry::testing {

/// What a caller does that was refused.
enum class CallerReturn : std::uint8_t {
  never,
  atRetryAfter,  ///< Returns when it was told to.
};

/// A caller of a model, and what became of it.
struct ScriptedCaller {
  std::string model;
  base::TimePoint arrivesAt;
  CallerReturn returns = CallerReturn::never;

  base::TimePoint leavesAt;  ///< When its patience ends, once it waits.
  int refusals = 0;
  std::optional<base::TimePoint> toldAt;  ///< When it was told that the model is available.
  std::optional<base::TimePoint> servedAt;
  bool isWaiting = false;
};

/// Runs callers against the policy in steps of virtual time. Each worker has room for all models,
/// so that only the order of the loads from the store decides who is served.
class ScriptedStore {
 public:
  static constexpr base::Duration kPatience = std::chrono::milliseconds(2400);
  static constexpr base::Duration kLoadTime = std::chrono::milliseconds(900);
  static constexpr base::Duration kStep = std::chrono::milliseconds(10);
  static constexpr double kLoadsPerSecond = 1.5;

  explicit ScriptedStore(std::size_t workers) {
    engine_.slots = 8;
    engine_.weightsMegabytes = 1e6;
    engine_.storeLoadsPerSecond = kLoadsPerSecond;
    for (std::size_t index = 0; index < workers; ++index) {
      PlacementWorker worker;
      worker.id = {"w" + std::to_string(index)};
      worker.canTakeOrders = true;
      workers_.push_back(worker);
      loadEndsAt_.push_back(base::kNever);
    }
  }

  const std::vector<ScriptedCaller>& callers() const { return callers_; }

  /// @return the caller's index.
  std::size_t call(const std::string& model, base::Duration after,
                   CallerReturn returns = CallerReturn::never) {
    declare(model);
    ScriptedCaller caller;
    caller.model = model;
    caller.arrivesAt = now_ + after;
    caller.returns = returns;
    callers_.push_back(caller);
    return callers_.size() - 1;
  }

  void run(base::Duration duration) {
    for (const base::TimePoint end = now_ + duration; now_ < end; now_ += kStep) {
      endLoads();
      for (ScriptedCaller& caller : callers_) {
        advance(caller);
      }
      plan();
    }
  }

 private:
  void declare(const std::string& name) {
    const auto found =
        std::find_if(engine_.models.begin(), engine_.models.end(),
                     [&name](const catalog::ModelSpec& model) { return model.name == name; });
    if (found == engine_.models.end()) {
      catalog::ModelSpec model;
      model.name = name;
      model.weightsMegabytes = 10;
      model.storeLoadTime = kLoadTime;
      model.diskLoadTime = kLoadTime;
      model.memoryLoadTime = kLoadTime;
      engine_.models.push_back(model);
    }
  }
  bool isServed(const std::string& model) const {
    return std::any_of(workers_.begin(), workers_.end(), [&model](const PlacementWorker& worker) {
      return worker.holdings.find(model) != nullptr;
    });
  }
  void endLoads() {
    for (std::size_t index = 0; index < workers_.size(); ++index) {
      PlacementWorker& worker = workers_[index];
      if (loadEndsAt_[index] > now_) {
        worker.remainingOrderTime =
            worker.loadingModel ? loadEndsAt_[index] - now_ : base::Duration::zero();
        continue;
      }
      store_.recordEnd(worker.id, now_);
      worker.holdings.models.push_back({*worker.loadingModel, 1, {}});
      worker.holdings.onDisk.push_back(*worker.loadingModel);
      worker.loadingModel.reset();
      worker.canTakeOrders = true;
      worker.remainingOrderTime = base::Duration::zero();
      loadEndsAt_[index] = base::kNever;
    }
  }
  /// Lets a caller arrive, be served, be refused or leave.
  void advance(ScriptedCaller& caller) {
    if (caller.servedAt) {
      return;
    }
    if (caller.isWaiting) {
      if (isServed(caller.model)) {
        caller.isWaiting = false;
        caller.servedAt = now_;
        report(caller.model, 0, 1);
      } else if (now_ >= caller.leavesAt) {
        caller.isWaiting = false;
        report(caller.model, 0, 0);
      } else {
        refuseIfTooLate(caller);
      }
    } else if (now_ >= caller.arrivesAt) {
      arrive(caller);
    }
  }
  void arrive(ScriptedCaller& caller) {
    caller.arrivesAt = base::kNever;
    caller.leavesAt = now_ + kPatience;
    if (isServed(caller.model)) {
      caller.servedAt = now_;
      report(caller.model, 1, 1);
      return;
    }
    caller.isWaiting = !refuseIfTooLate(caller);
    report(caller.model, 1, 0);
  }
  /// Refuses as a gateway does that knows only expected times.
  bool refuseIfTooLate(ScriptedCaller& caller) {
    const auto late = lateModels_.find(caller.model);
    if (late == lateModels_.end() || now_ >= lateModelsExpireAt_ ||
        late->second <= caller.leavesAt) {
      return false;
    }
    const bool isFirst = ++caller.refusals == 1;
    caller.toldAt = caller.toldAt.value_or(late->second);
    if (isFirst && caller.returns == CallerReturn::atRetryAfter) {
      caller.arrivesAt = late->second;
    }
    if (std::exchange(caller.isWaiting, false)) {
      report(caller.model, 0, 0);
    }
    return true;
  }
  void report(const std::string& model, std::uint32_t arrivals, std::uint32_t answered) {
    const auto waiting = std::count_if(
        callers_.begin(), callers_.end(),
        [&model](const ScriptedCaller& each) { return each.isWaiting && each.model == model; });
    const auto gateway = gatewayOf_.try_emplace(model, gatewayOf_.size() + 1).first->second;
    DemandUpdate update;
    update.demands.push_back({"svc", model, "", static_cast<std::uint32_t>(waiting), arrivals, 0,
                              std::chrono::milliseconds(600), answered, 0});
    demand_.update({gateway}, update, now_);
  }
  void plan() {
    store_.setLimit(kLoadsPerSecond, {}, now_);
    for (const PlacementStep& step : policy_.plan(engine_, workers_, demand_, store_, now_)) {
      for (std::size_t index = 0; index < workers_.size(); ++index) {
        if (workers_[index].id == step.worker) {
          workers_[index].loadingModel = step.model;
          workers_[index].canTakeOrders = false;
          workers_[index].remainingOrderTime = kLoadTime;
          loadEndsAt_[index] = now_ + kLoadTime;
        }
      }
    }
    announce();
  }
  void announce() {
    LateModels late;
    for (const LateModelForecast& forecast : policy_.outlook()) {
      late.models.push_back({"svc", forecast.model, forecast.availableIn});
    }
    if (!announcer_.due(late, now_)) {
      return;
    }
    lateModels_.clear();
    lateModelsExpireAt_ = now_ + kLateModelsLifetime;
    for (const LateModel& model : late.models) {
      lateModels_[model.model] = now_ + model.availableIn;
    }
  }

  base::TimePoint now_ = base::TimePoint(std::chrono::seconds(100));
  catalog::EngineSpec engine_;
  PlacementPolicy policy_{"svc"};
  StoreScheduler store_;
  DemandBook demand_;
  LateModelAnnouncer announcer_;
  std::vector<PlacementWorker> workers_;
  std::vector<base::TimePoint> loadEndsAt_;  ///< By worker; `kNever` if it loads nothing.
  std::vector<ScriptedCaller> callers_;
  std::map<std::string, base::TimePoint> lateModels_;
  base::TimePoint lateModelsExpireAt_;
  std::map<std::string, std::uint64_t> gatewayOf_;  ///< Connection that reports a model.
};

}  // namespace walnut::registry::testing
