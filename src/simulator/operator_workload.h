#pragma once
/// @file
/// Operators of a run: they declare the deployment, then change it, race each other with equal
/// expected versions, read, watch, drain engines and replace controllers.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "simulator/deployment.h"
#include "simulator/environment.h"
#include "simulator/fleet.h"
#include "simulator/operator_client.h"

namespace walnut::simulator {

class OperatorWorkload {
 public:
  OperatorWorkload(Environment& environment, Fleet& fleet, const Deployment& deployment);

  /// Declares everything; `done` when the last write is acknowledged.
  void declareAll(const std::function<void()>& done);
  /// Changes, reads and watches until `end`.
  void run(base::TimePoint end);
  /// Drains an engine for at most `atMost`, then lifts the drain.
  void drain(EngineNode& engine, base::Duration atMost);
  /// The operator replaces a server whose disk was lost; `done` when the new one is a voter.
  void replaceServer(const consensus::Member& lost, const consensus::Member& fresh,
                     const std::function<void()>& done);
  /// Writes `count` changes of resources that nothing refers to; `done` when all are acknowledged.
  void changeMany(std::size_t count, const std::function<void()>& done);
  /// One acknowledged change of what a model serves.
  void flipModel(std::size_t model);
  void readStatus(const std::function<void(const protocol::CellStatus&)>& done) {
    clients_.front()->status(done);
  }
  void listAll() {
    clients_.front()->list([](const auto&) {});
  }
  bool isDrained(const EngineNode& engine) const { return drained_.contains(engine.engineId()); }
  /// @return the version that the model was last known to serve.
  std::string activeVersion(std::size_t model) const { return models_[model].spec.activeVersion; }

 private:
  /// What the operators last saw of a model.
  struct KnownModel {
    resource::ModelSpec spec;
    resource::Version version = 0;
  };

  void declareNext(std::size_t client,
                   const std::shared_ptr<std::vector<resource::Resource>>& queue,
                   const std::shared_ptr<std::size_t>& open, const std::function<void()>& done);
  void changeNext(std::size_t client, const std::shared_ptr<std::size_t>& left,
                  const std::shared_ptr<std::size_t>& open, const std::function<void()>& done);
  void scheduleNext();
  void actOnce();
  void raceOnModel(std::size_t model);
  void putModel(OperatorClient& client, std::size_t model, const resource::ModelSpec& spec,
                std::optional<resource::Version> expected);
  void createAndDelete();
  void liftDrain(const base::EngineId& engine);
  void awaitVoter(const consensus::Member& fresh, const std::shared_ptr<bool>& finished,
                  const std::function<void()>& done);
  OperatorClient& anyClient();
  void learnModels(const std::vector<resource::Resource>& resources);

  Environment& environment_;
  const Deployment& deployment_;
  std::vector<std::unique_ptr<OperatorClient>> clients_;
  std::vector<KnownModel> models_;
  std::set<base::EngineId> drained_;
  base::TimePoint end_;
  std::uint64_t nextName_ = 1;
};

}  // namespace walnut::simulator
