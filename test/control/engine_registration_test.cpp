#include "control/engine_registration.h"

#include <CppUTest/TestHarness.h>

#include "control/cell_fixture.h"

using namespace walnut;
using control::EngineSources;
using control::expectedRecord;
using resource::EngineStatus;

namespace {

/// Status of the engine according to one source.
enum class SourceStatus { unknown, live, leaving, missing };

struct StatusCase {
  EngineStatus before;
  SourceStatus platform;
  SourceStatus engine;
  EngineStatus expected;
};

const StatusCase kStatusCases[] = {
    {EngineStatus::live, SourceStatus::live, SourceStatus::live, EngineStatus::live},
    {EngineStatus::live, SourceStatus::leaving, SourceStatus::live, EngineStatus::leaving},
    {EngineStatus::live, SourceStatus::live, SourceStatus::leaving, EngineStatus::leaving},
    {EngineStatus::live, SourceStatus::missing, SourceStatus::live, EngineStatus::leaving},
    {EngineStatus::live, SourceStatus::unknown, SourceStatus::unknown, EngineStatus::live},
    {EngineStatus::leaving, SourceStatus::live, SourceStatus::live, EngineStatus::live},
    {EngineStatus::leaving, SourceStatus::unknown, SourceStatus::live, EngineStatus::leaving},
    {EngineStatus::leaving, SourceStatus::live, SourceStatus::unknown, EngineStatus::leaving},
};

}  // namespace

TEST_GROUP(EngineRegistration) {
  resource::Engine record = control::engineOf("a");
  engine::PlatformMachine machine{record.id,           record.endpoint, record.zone,
                                  record.machineClass, false,           std::nullopt};
  engine::Report report;

  void setup() override {
    report.incarnation = record.incarnation;
    report.acceleratorBytes = record.acceleratorBytes;
  }
};

TEST(EngineRegistration, statusFollowsBothSources) {
  for (const StatusCase& one : kStatusCases) {
    record.status = one.before;
    machine.leaving = one.platform == SourceStatus::leaving;
    report.leaving = one.engine == SourceStatus::leaving;
    EngineSources sources;
    sources.record = &record;
    const bool listed = one.platform == SourceStatus::live || one.platform == SourceStatus::leaving;
    sources.machine = listed ? &machine : nullptr;
    sources.report = one.engine == SourceStatus::unknown ? nullptr : &report;
    sources.hasList = one.platform != SourceStatus::unknown;
    const auto expected = expectedRecord(sources);
    CHECK_EQUAL(one.before != one.expected, expected.has_value());
    CHECK_TRUE(!expected || expected->status == one.expected);
  }
}

TEST(EngineRegistration, aReclaimedMachineIsLeaving) {
  machine.reclaimAt = control::atSecond(60);
  const auto expected = expectedRecord({&record, &machine, &report, true});
  CHECK_TRUE(expected && expected->status == EngineStatus::leaving);
  CHECK_TRUE(expected->reclaimAt == control::atSecond(60));
}

TEST(EngineRegistration, anotherIncarnationIsRegistered) {
  report.incarnation = base::Incarnation{99};
  const auto expected = expectedRecord({&record, &machine, &report, true});
  CHECK_TRUE(expected && expected->incarnation == base::Incarnation{99});
}

TEST(EngineRegistration, aListedMachineIsRegisteredBeforeItsFirstReport) {
  const auto expected = expectedRecord({nullptr, &machine, nullptr, true});
  CHECK_TRUE(expected && expected->incarnation == base::Incarnation{});
  CHECK_FALSE(expectedRecord({nullptr, nullptr, &report, true}).has_value());
}
