#include "scale/message_sizes.h"

#include <functional>
#include <utility>

#include "scale/synthetic_cell.h"
#include "transport/frame.h"
#include "walnut/engine/json_codec.h"
#include "walnut/protocol/codec.h"

namespace walnut::scale {

namespace {

constexpr std::size_t kSweep[] = {0, 1, 10, 100, 1000};
/// Of ids that all have the same length.
constexpr std::size_t kFirstRequest = 1'000'000;
const CellSize kSize{230, 7700, 3000, 24000, 5};

double frameBytes(const protocol::Message& message) {
  return static_cast<double>(transport::encodeFrame(message).value().size());
}

Series sweep(const char* quantity, const char* per,
             const std::function<double(std::size_t)>& bytesOf) {
  Series series{quantity, "bytes", per, {}};
  for (const std::size_t count : kSweep) {
    series.points.push_back({static_cast<double>(count), bytesOf(count)});
  }
  return series;
}

Series single(const char* quantity, const protocol::Message& message) {
  return {quantity, "bytes", "message", {{1, frameBytes(message)}}};
}

Series deltaSeries(const char* per, const std::function<protocol::Change(std::size_t)>& change) {
  return sweep("frame of a WatchDelta", per, [&](std::size_t count) {
    protocol::WatchDelta delta{1, 2, {}};
    for (std::size_t number = 0; number < count; ++number) {
      delta.changes.push_back(change(number));
    }
    return frameBytes(delta);
  });
}

double demandReportBytes(std::size_t entries) {
  protocol::DemandReport report;
  report.router = {1};
  for (std::size_t number = 0; number < entries; ++number) {
    protocol::Demand demand;
    demand.model = modelName(number % kSize.models);
    demand.adapter = adapterName(number);
    demand.running = 1;
    report.entries.push_back(std::move(demand));
  }
  return frameBytes(report);
}

double claimsEntryBytes(std::size_t claims) {
  control::ClaimKeys keys;
  for (std::size_t number = 0; number < claims; ++number) {
    keys.claims.push_back(
        {"3f0c9a52-7d61-4b8e-9a27-52c1e0f4d" + std::to_string(kFirstRequest + number),
         base::RequestId{"router-0123-" + std::to_string(kFirstRequest + number)},
         {}});
  }
  return static_cast<double>(protocol::encodeCommand({{}, std::move(keys)}).size());
}

double reportBytes(std::size_t held) {
  engine::Report report;
  report.incarnation = {1764660000000000};
  report.greatestToken = {12, 345678};
  report.acceleratorBytes.assign(kAcceleratorsPerEngine, 80ULL << 30U);
  for (std::size_t number = 0; number < held; ++number) {
    const resource::Replica replica = replicaRecord(kSize, number + kSize.models);
    report.held.push_back({replica.servable,
                           {static_cast<std::uint32_t>(number % 8)},
                           replica.bytes,
                           engine::HeldState::ready,
                           8});
  }
  return static_cast<double>(engine::encodeReport(report).size());
}

double cachedReportBytes(std::size_t cached) {
  engine::Report report;
  for (std::size_t number = 0; number < cached; ++number) {
    report.cached.push_back({"checkpoints/" + adapterName(number), engine::CacheTier::localDisk});
  }
  return static_cast<double>(engine::encodeReport(report).size());
}

std::vector<Series> watchSizes() {
  return {
      deltaSeries("models",
                  [](std::size_t number) -> protocol::Change {
                    return protocol::ResourceChanged{modelResource(number)};
                  }),
      deltaSeries("model versions",
                  [](std::size_t number) -> protocol::Change {
                    return protocol::ResourceChanged{modelVersionResource(number)};
                  }),
      deltaSeries("adapters",
                  [](std::size_t number) -> protocol::Change {
                    return protocol::ResourceChanged{adapterResource(kSize, number)};
                  }),
      deltaSeries("engines",
                  [](std::size_t number) -> protocol::Change {
                    return protocol::EngineChanged{engineRecord(number, {"10.123.45.67", 8080})};
                  }),
      deltaSeries("replicas",
                  [](std::size_t number) -> protocol::Change {
                    return protocol::ReplicaChanged{replicaRecord(kSize, number + kSize.models)};
                  }),
      deltaSeries("removed replicas",
                  [](std::size_t number) -> protocol::Change {
                    return protocol::ReplicaRemoved{{number}};
                  }),
  };
}

}  // namespace

std::vector<Series> measureMessageSizes() {
  std::vector<Series> all = watchSizes();
  all.push_back(single("frame of a Hello", protocol::Hello{1, {}, kScaleCell, 1, zoneName(0)}));
  all.push_back(single("frame of a ProbeRequest", protocol::ProbeRequest{1}));
  all.push_back(single("frame of a ProbeReply", protocol::ProbeReply{}));
  all.push_back(single("frame of a WatchRequest", protocol::WatchRequest{1}));
  all.push_back(single("frame of an append without entries",
                       consensus::Message{{1}, {2}, consensus::AppendRequest{}}));
  all.push_back(
      single("frame of an append reply", consensus::Message{{1}, {2}, consensus::AppendReply{}}));
  all.push_back(sweep("frame of a DemandReport", "entries", demandReportBytes));
  all.push_back(sweep("log entry of claims", "claims", claimsEntryBytes));
  all.push_back(sweep("JSON body of an engine's report", "held servables", reportBytes));
  all.push_back(sweep("JSON body of an engine's report", "cached checkpoints", cachedReportBytes));
  return all;
}

}  // namespace walnut::scale
