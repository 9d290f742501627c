#include "control/engine_registration.h"

namespace walnut::control {

namespace {

resource::EngineStatus expectedStatus(const EngineSources& sources) {
  const bool listed = sources.machine != nullptr;
  const bool listSaysLeaving =
      listed && (sources.machine->leaving || sources.machine->reclaimAt.has_value());
  const bool missing = sources.hasList && !listed;
  const bool engineSaysLeaving = sources.report != nullptr && sources.report->leaving;
  const bool wasLeaving =
      sources.record != nullptr && sources.record->status == resource::EngineStatus::leaving;
  const bool bothKnown = listed && sources.report != nullptr;
  const bool leaving =
      listSaysLeaving || missing || engineSaysLeaving || (wasLeaving && !bothKnown);
  return leaving ? resource::EngineStatus::leaving : resource::EngineStatus::live;
}

}  // namespace

std::optional<resource::Engine> expectedRecord(const EngineSources& sources) {
  if (sources.record == nullptr && sources.machine == nullptr) {
    return std::nullopt;
  }
  resource::Engine expected = sources.record != nullptr ? *sources.record : resource::Engine{};
  if (sources.machine != nullptr) {
    expected.id = sources.machine->engine;
    expected.endpoint = sources.machine->endpoint;
    expected.zone = sources.machine->zone;
    expected.machineClass = sources.machine->machineClass;
    expected.reclaimAt = sources.machine->reclaimAt;
  }
  if (sources.report != nullptr) {
    expected.incarnation = sources.report->incarnation;
    expected.acceleratorBytes = sources.report->acceleratorBytes;
  }
  expected.status = expectedStatus(sources);
  if (sources.record != nullptr && expected == *sources.record) {
    return std::nullopt;
  }
  return expected;
}

}  // namespace walnut::control
