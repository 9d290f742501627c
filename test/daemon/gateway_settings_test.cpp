/// Tests of the settings of `walnut-router gateway`.

#include "daemon/gateway_settings.h"

#include <array>
#include <string>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::daemon;

TEST_GROUP(GatewaySettingsTest){
    static runtime::Settings::Parsed parse(GatewaySettingsBinder & binder,
                                           std::string flag){std::string program = "walnut-router";
std::array<char*, 3> arguments = {program.data(), flag.data(), nullptr};
return binder.parse(2, arguments.data());
}
}
;

TEST(GatewaySettingsTest, theBufferLimitIsGivenInMebibytes) {
  GatewaySettingsBinder binder;
  CHECK_FALSE(parse(binder, "--buffer-limit-mb=40").exitNow);
  CHECK_EQUAL(40U << 20U, binder.settings().logic.bufferLimitBytes);
}

TEST(GatewaySettingsTest, theBufferLimitIsAThirdOfTheMachinesMemoryByDefault) {
  GatewaySettingsBinder binder;
  CHECK_FALSE(parse(binder, "--name=g").exitNow);
  CHECK_EQUAL(static_cast<std::size_t>(defaultBufferLimitMb()) << 20U,
              binder.settings().logic.bufferLimitBytes);
}

/// Guards against a process that takes the host's memory for that of its own, smaller machine.
TEST(GatewaySettingsTest, theBufferLimitIsAThirdOfTheMemoryThatIsGiven) {
  GatewaySettingsBinder binder;
  CHECK_FALSE(parse(binder, "--memory-mb=260").exitNow);
  CHECK_EQUAL(86U << 20U, binder.settings().logic.bufferLimitBytes);
}

/// Guards against a start with a limit that no collected response fits into.
TEST(GatewaySettingsTest, aBufferLimitOutOfRangeEndsTheStart) {
  for (const char* flag : {"--buffer-limit-mb=15", "--buffer-limit-mb=1048577"}) {
    GatewaySettingsBinder binder;
    const runtime::Settings::Parsed parsed = parse(binder, flag);
    CHECK_TRUE(parsed.exitNow);
    CHECK(parsed.exitCode != runtime::ExitCode::ok);
  }
}
