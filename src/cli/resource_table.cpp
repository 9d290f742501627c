#include "cli/resource_table.h"

#include <Poco/String.h>

#include <algorithm>
#include <map>
#include <sstream>

#include "cli/table.h"
#include "http/status_codec.h"
#include "resource/validation.h"
#include "walnut/runtime/settings.h"

namespace walnut::cli {

using resource::Kind;

namespace {

std::string joined(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += text.empty() ? part : "," + part;
  }
  return text;
}

std::string realText(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

/// Columns between the name and the version.
Row headingOf(Kind kind) {
  switch (kind) {
    case Kind::model:
      return {"ACTIVE-VERSION", "POOL", "BUDGET", "REPLICAS"};
    case Kind::modelVersion:
    case Kind::adapter:
      return {"MODEL", "CHECKPOINT", "CHECKPOINT-BYTES", "ACCELERATOR-BYTES"};
    case Kind::capacityBudget:
      return {"ACCELERATOR-BYTES", "IDLE-UNLOAD-SECONDS", "COLD-START-WEIGHT"};
    case Kind::enginePool:
      return {"ZONES", "MACHINE-CLASS", "MAX-CONCURRENT-LOADS", "LOADS-PER-SECOND"};
    case Kind::drain:
      return {"REASON"};
  }
  return {};
}

Row cellsOf(const resource::ModelSpec& spec) {
  const std::string replicas =
      std::to_string(spec.minReplicas) + ".." + std::to_string(spec.maxReplicas);
  return {spec.activeVersion, spec.pool, spec.budget, replicas};
}

template <class Weights>
Row weightCells(const Weights& spec) {
  return {spec.model, spec.checkpoint, std::to_string(spec.checkpointBytes),
          std::to_string(spec.acceleratorBytes)};
}

Row cellsOf(const resource::ModelVersionSpec& spec) { return weightCells(spec); }
Row cellsOf(const resource::AdapterSpec& spec) { return weightCells(spec); }

Row cellsOf(const resource::CapacityBudgetSpec& spec) {
  return {std::to_string(spec.acceleratorBytes), std::to_string(spec.idleUnloadSeconds),
          std::to_string(spec.coldStartWeight)};
}

Row cellsOf(const resource::EnginePoolSpec& spec) {
  return {joined(spec.zones), spec.machineClass, std::to_string(spec.maxConcurrentLoads),
          realText(spec.loadsPerSecond)};
}

Row cellsOf(const resource::DrainSpec& spec) { return {spec.reason}; }

const char* stateName(resource::ReplicaState state) {
  switch (state) {
    case resource::ReplicaState::reserved:
      return "reserved";
    case resource::ReplicaState::ready:
      return "ready";
    case resource::ReplicaState::unloading:
      break;
  }
  return "unloading";
}

void writeMembers(std::ostream& out, const protocol::CellStatus& status) {
  std::vector<Row> rows;
  for (const consensus::Member& member : status.membership.members) {
    const bool leads = member.id == status.leader;
    const bool votes = member.role == consensus::MemberRole::voter;
    rows.push_back({http::formatServerId(member.id), votes ? "voter" : "learner",
                    leads ? "leader" : "", runtime::formatEndpoint(member.peerEndpoint),
                    runtime::formatEndpoint(member.resourceEndpoint), member.zone.value});
  }
  writeTable(out, {"MEMBER", "ROLE", "LEADS", "PEER", "API", "ZONE"}, rows);
}

const char* statusOf(const resource::Engine& engine,
                     const std::vector<resource::Resource>& drains) {
  if (engine.status == resource::EngineStatus::leaving) {
    return "leaving";
  }
  const bool drained = std::any_of(
      drains.begin(), drains.end(),
      [&engine](const resource::Resource& drain) { return drain.key.name == engine.id.value; });
  return drained ? "draining" : "live";
}

void writeEngines(std::ostream& out, const protocol::CellStatus& status,
                  const std::vector<resource::Resource>& drains) {
  std::vector<Row> rows;
  for (const resource::Engine& engine : status.engines) {
    std::vector<std::string> memory;
    for (const std::uint64_t bytes : engine.acceleratorBytes) {
      memory.push_back(std::to_string(bytes));
    }
    rows.push_back({engine.id.value, statusOf(engine, drains),
                    runtime::formatEndpoint(engine.endpoint), engine.zone.value,
                    engine.machineClass, joined(memory)});
  }
  writeTable(out, {"ENGINE", "STATUS", "ENDPOINT", "ZONE", "CLASS", "ACCELERATOR-BYTES"}, rows);
}

void writeReplicas(std::ostream& out, const protocol::CellStatus& status) {
  std::vector<Row> rows;
  for (const resource::Replica& replica : status.replicas) {
    rows.push_back({std::to_string(replica.id.value), replica.servable.model,
                    replica.servable.version, replica.servable.adapter, replica.engine.value,
                    std::to_string(replica.accelerator.value), std::to_string(replica.bytes),
                    stateName(replica.state)});
  }
  writeTable(out,
             {"REPLICA", "MODEL", "VERSION", "ADAPTER", "ENGINE", "ACCELERATOR", "BYTES", "STATE"},
             rows);
}

}  // namespace

void writeResources(std::ostream& out, Kind kind,
                    const std::vector<resource::Resource>& resources) {
  std::vector<Row> rows;
  for (const resource::Resource& resource : resources) {
    Row row = {resource.key.name};
    const Row cells = std::visit([](const auto& spec) { return cellsOf(spec); }, resource.spec);
    row.insert(row.end(), cells.begin(), cells.end());
    row.push_back(std::to_string(resource.version));
    rows.push_back(std::move(row));
  }
  Row heading = {"NAME"};
  const Row columns = headingOf(kind);
  heading.insert(heading.end(), columns.begin(), columns.end());
  heading.emplace_back("VERSION");
  writeTable(out, heading, rows);
}

void writeAllResources(std::ostream& out, const std::vector<resource::Resource>& resources) {
  std::map<Kind, std::vector<resource::Resource>> byKind;
  for (const resource::Resource& resource : resources) {
    byKind[resource.key.kind].push_back(resource);
  }
  const char* separator = "";
  for (const auto& [kind, ofKind] : byKind) {
    out << separator << Poco::toUpper(std::string(resource::kindName(kind))) << "\n";
    writeResources(out, kind, ofKind);
    separator = "\n";
  }
}

void writeStatus(std::ostream& out, const protocol::CellStatus& status,
                 const std::vector<resource::Resource>& drains) {
  const bool hasLeader = status.leader.value != 0;
  out << "answered by  " << http::formatServerId(status.server) << "\n"
      << "leader       " << (hasLeader ? http::formatServerId(status.leader) : "none known") << "\n"
      << "term         " << status.term << "\n"
      << "applied      " << status.appliedIndex << "\n"
      << "log from     " << status.firstIndex << "\n"
      << "routers      " << status.routersConnected << "\n\n";
  writeMembers(out, status);
  out << "\n";
  writeEngines(out, status, drains);
  out << "\n";
  writeReplicas(out, status);
}

}  // namespace walnut::cli
