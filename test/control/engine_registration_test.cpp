#include "control/engine_registration.h"

#include <CppUTest/TestHarness.h>

#include "control/cell_test_kit.h"

using namespace walnut;
using control::EngineSources;
using control::expectedRecord;
using resource::EngineStatus;

namespace {

/// What one source says of the engine.
enum class Word { unknown, live, leaving, missing };

struct StatusCase {
  EngineStatus before;
  Word platform;
  Word engine;
  EngineStatus expected;
};

const StatusCase kStatusCases[] = {
    {EngineStatus::live, Word::live, Word::live, EngineStatus::live},
    {EngineStatus::live, Word::leaving, Word::live, EngineStatus::leaving},
    {EngineStatus::live, Word::live, Word::leaving, EngineStatus::leaving},
    {EngineStatus::live, Word::missing, Word::live, EngineStatus::leaving},
    {EngineStatus::live, Word::unknown, Word::unknown, EngineStatus::live},
    {EngineStatus::leaving, Word::live, Word::live, EngineStatus::live},
    {EngineStatus::leaving, Word::unknown, Word::live, EngineStatus::leaving},
    {EngineStatus::leaving, Word::live, Word::unknown, EngineStatus::leaving},
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

TEST(EngineRegistration, statusFollowsBothWords) {
  for (const StatusCase& one : kStatusCases) {
    record.status = one.before;
    machine.leaving = one.platform == Word::leaving;
    report.leaving = one.engine == Word::leaving;
    EngineSources sources;
    sources.record = &record;
    const bool listed = one.platform == Word::live || one.platform == Word::leaving;
    sources.machine = listed ? &machine : nullptr;
    sources.report = one.engine == Word::unknown ? nullptr : &report;
    sources.hasList = one.platform != Word::unknown;
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
