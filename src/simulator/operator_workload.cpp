#include "simulator/operator_workload.h"

#include <algorithm>
#include <utility>

namespace walnut::simulator {

namespace {
constexpr std::size_t kClients = 3;
/// Share of the passing adapters that are deleted again.
constexpr double kDeletedShare = 0.7;
/// Budgets that changeMany writes to.
constexpr std::size_t kSpareBudgets = 20;
constexpr base::Duration kVoterPollInterval = std::chrono::milliseconds(500);
}  // namespace

OperatorWorkload::OperatorWorkload(Environment& environment, Fleet& fleet,
                                   const Deployment& deployment)
    : environment_(environment), deployment_(deployment), models_(deployment.models) {
  for (std::size_t index = 0; index < kClients; ++index) {
    clients_.push_back(std::make_unique<OperatorClient>(
        environment, fleet, "operator-" + std::to_string(index + 1),
        deployment.zones[index % deployment.zones.size()]));
    clients_.back()->start();
  }
}

OperatorClient& OperatorWorkload::anyClient() {
  return *clients_[environment_.random().uniform(0, clients_.size() - 1)];
}

void OperatorWorkload::declareAll(const std::function<void()>& done) {
  auto queue = std::make_shared<std::vector<resource::Resource>>(initialResources(deployment_));
  std::reverse(queue->begin(), queue->end());
  declareNext(0, queue, std::make_shared<std::size_t>(1), done);
}

void OperatorWorkload::declareNext(std::size_t client,
                                   const std::shared_ptr<std::vector<resource::Resource>>& queue,
                                   const std::shared_ptr<std::size_t>& open,
                                   const std::function<void()>& done) {
  if (queue->empty()) {
    if (--*open == 0) {
      done();
    }
    return;
  }
  const resource::Resource declared = std::move(queue->back());
  queue->pop_back();
  clients_[client]->put(declared, std::nullopt,
                        [this, client, queue, open, done, declared](const WriteResult& result) {
                          if (declared.key.kind == resource::Kind::model && result.acknowledged) {
                            for (std::size_t model = 0; model < models_.size(); ++model) {
                              if (modelName(model) == declared.key.name) {
                                models_[model].spec = std::get<resource::ModelSpec>(declared.spec);
                                models_[model].version = result.version;
                              }
                            }
                          }
                          declareNext(client, queue, open, done);
                        });
}

void OperatorWorkload::run(base::TimePoint end) {
  end_ = end;
  scheduleNext();
}

void OperatorWorkload::scheduleNext() {
  const auto mean = static_cast<std::int64_t>(1e6 / deployment_.writesPerSecond);
  environment_.scheduler.after(
      environment_.random().between(base::Duration{0}, base::Duration(2 * mean)), [this] {
        if (environment_.scheduler.now() < end_) {
          actOnce();
          scheduleNext();
        }
      });
}

void OperatorWorkload::actOnce() {
  base::Random& random = environment_.random();
  const std::size_t model = random.uniform(0, deployment_.models - 1);
  const std::uint64_t choice = random.uniform(0, 99);
  if (choice < 30) {
    raceOnModel(model);
  } else if (choice < 50) {
    flipModel(model);
  } else if (choice < 60) {
    createAndDelete();
  } else if (choice < 75) {
    anyClient().get(resource::Key{resource::Kind::model, modelName(model)});
  } else if (choice < 90) {
    anyClient().list([this](const auto& resources) { learnModels(resources); });
  } else {
    anyClient().watch(models_[model].version);
  }
}

void OperatorWorkload::putModel(OperatorClient& client, std::size_t model,
                                const resource::ModelSpec& spec,
                                std::optional<resource::Version> expected) {
  resource::Resource declared;
  declared.key = resource::Key{resource::Kind::model, modelName(model)};
  declared.spec = spec;
  client.put(declared, expected, [this, model, spec](const WriteResult& result) {
    if (result.acknowledged && result.version > models_[model].version) {
      models_[model] = KnownModel{spec, result.version};
    } else if (result.currentVersion > models_[model].version) {
      models_[model].version = result.currentVersion;
    }
  });
}

void OperatorWorkload::flipModel(std::size_t model) {
  resource::ModelSpec spec = models_[model].spec;
  const bool first = spec.activeVersion == versionName(model, 0);
  spec.activeVersion = versionName(model, first ? 1 : 0);
  putModel(anyClient(), model, spec, std::nullopt);
}

void OperatorWorkload::raceOnModel(std::size_t model) {
  const resource::Version expected = models_[model].version;
  for (const auto& client : clients_) {
    resource::ModelSpec spec = models_[model].spec;
    spec.activeVersion = versionName(model, environment_.random().uniform(0, 1));
    spec.maxReplicas = static_cast<std::uint32_t>(environment_.random().uniform(1, 2));
    const base::Duration after =
        environment_.random().between(base::Duration{0}, std::chrono::milliseconds(10));
    environment_.scheduler.after(after, [this, &client = *client, model, spec, expected] {
      putModel(client, model, spec, expected);
    });
  }
}

void OperatorWorkload::createAndDelete() {
  resource::Resource declared;
  declared.key = resource::Key{resource::Kind::adapter, "extra-" + std::to_string(nextName_++)};
  resource::AdapterSpec spec = initialAdapter(deployment_, 0);
  spec.checkpoint = "weights/" + declared.key.name;
  declared.spec = spec;
  OperatorClient& client = anyClient();
  client.put(declared, resource::Version{0}, [this, &client, declared](const WriteResult& result) {
    if (!result.acknowledged) {
      return;
    }
    environment_.passingAdapters.push_back(declared.key.name);
    if (!environment_.random().chance(kDeletedShare)) {
      return;
    }
    const base::Duration after =
        environment_.random().between(std::chrono::seconds(1), std::chrono::seconds(40));
    environment_.scheduler.after(after, [&client, declared, version = result.version] {
      client.remove(declared.key, version, [](const WriteResult&) {});
    });
  });
}

void OperatorWorkload::changeMany(std::size_t count, const std::function<void()>& done) {
  const auto left = std::make_shared<std::size_t>(count);
  const auto open = std::make_shared<std::size_t>(clients_.size());
  for (std::size_t client = 0; client < clients_.size(); ++client) {
    changeNext(client, left, open, done);
  }
}

void OperatorWorkload::changeNext(std::size_t client, const std::shared_ptr<std::size_t>& left,
                                  const std::shared_ptr<std::size_t>& open,
                                  const std::function<void()>& done) {
  if (*left == 0) {
    if (--*open == 0) {
      done();
    }
    return;
  }
  --*left;
  resource::CapacityBudgetSpec spec;
  spec.idleUnloadSeconds = static_cast<std::uint32_t>(environment_.random().uniform(10, 1000));
  resource::Resource declared;
  declared.key = resource::Key{resource::Kind::capacityBudget,
                               "spare-" + std::to_string(*left % kSpareBudgets)};
  declared.spec = spec;
  clients_[client]->put(declared, std::nullopt,
                        [this, client, left, open, done](const WriteResult&) {
                          changeNext(client, left, open, done);
                        });
}

void OperatorWorkload::learnModels(const std::vector<resource::Resource>& resources) {
  for (std::size_t model = 0; model < models_.size(); ++model) {
    for (const resource::Resource& found : resources) {
      const bool same = found.key == resource::Key{resource::Kind::model, modelName(model)};
      if (same && found.version > models_[model].version) {
        models_[model] = KnownModel{std::get<resource::ModelSpec>(found.spec), found.version};
      }
    }
  }
}

void OperatorWorkload::drain(EngineNode& engine, base::Duration atMost) {
  const base::EngineId id = engine.engineId();
  // Until the drain is known to be lifted: a new one could be lifted by resends of an old removal.
  drained_.insert(id);
  resource::Resource declared;
  declared.key = resource::Key{resource::Kind::drain, id.value};
  declared.spec = resource::DrainSpec{"maintenance"};
  anyClient().put(declared, std::nullopt, [this, id, atMost, &engine](const WriteResult& result) {
    if (!result.acknowledged) {
      return;
    }
    environment_.drainedEngine = &engine;
    environment_.observe(LeavingVisible{id.value, LeavingSource::drain});
    environment_.scheduler.after(atMost, [this, id] { liftDrain(id); });
  });
}

void OperatorWorkload::liftDrain(const base::EngineId& engine) {
  environment_.drainedEngine = nullptr;
  // From the sending on, work may be given again.
  environment_.observe(LeavingEnded{engine.value, LeavingSource::drain});
  anyClient().remove(resource::Key{resource::Kind::drain, engine.value}, std::nullopt,
                     [this, engine](const WriteResult&) { drained_.erase(engine); });
}

void OperatorWorkload::replaceServer(const consensus::Member& lost, const consensus::Member& fresh,
                                     const std::function<void()>& done) {
  OperatorClient& client = anyClient();
  client.changeMember(true, lost, [this, &client, fresh, done] {
    client.changeMember(false, fresh, [this, fresh, done] {
      awaitVoter(fresh, std::make_shared<bool>(false), done);
    });
  });
}

void OperatorWorkload::awaitVoter(const consensus::Member& fresh,
                                  const std::shared_ptr<bool>& finished,
                                  const std::function<void()>& done) {
  anyClient().status([fresh, done, finished](const protocol::CellStatus& status) {
    for (const consensus::Member& member : status.membership.members) {
      const bool voter = member.id == fresh.id && member.role == consensus::MemberRole::voter;
      if (voter && !*finished) {
        *finished = true;
        done();
      }
    }
  });
  environment_.scheduler.after(kVoterPollInterval, [this, fresh, done, finished] {
    if (!*finished) {
      awaitVoter(fresh, finished, done);
    }
  });
}

}  // namespace walnut::simulator
