#include "daemon/controller_settings.h"

#include <CppUTest/TestHarness.h>

#include "daemon/router_settings.h"

using namespace walnut;
using namespace walnut::daemon;
using runtime::ExitCode;

namespace {

template <class Binder>
runtime::Settings::Parsed parse(Binder& binder, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "program");
  std::vector<char*> pointers;
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  return binder.parse(static_cast<int>(pointers.size()), pointers.data());
}

}  // namespace

TEST_GROUP(DaemonSettingsTest){};

TEST(DaemonSettingsTest, membersAreReadWhole) {
  const auto member = parseInitialMember("17@10.0.0.1:70@10.0.0.1:80@north").value();
  LONGS_EQUAL(17, member.id.value);
  CHECK(member.role == consensus::MemberRole::voter);
  CHECK((member.peerEndpoint == base::Endpoint{"10.0.0.1", 70}));
  CHECK((member.resourceEndpoint == base::Endpoint{"10.0.0.1", 80}));
  STRCMP_EQUAL("north", member.zone.value.c_str());
  for (const char* bad : {"", "17", "0@10.0.0.1:70@10.0.0.1:80@z", "x@10.0.0.1:70@10.0.0.1:80@z",
                          "1@host:70@10.0.0.1:80@z", "1@10.0.0.1:70@10.0.0.1:80@",
                          "1@10.0.0.1:70@10.0.0.1:80", "1@10.0.0.1:70@10.0.0.1:80@z@z"}) {
    CHECK_TEXT(parseInitialMember(bad).has_error(), bad);
  }
}

TEST(DaemonSettingsTest, serverUrls) {
  CHECK((parseServerUrl("http://127.0.0.1:90/").value() == base::Endpoint{"127.0.0.1", 90}));
  CHECK((parseServerUrl("127.0.0.1:90").value() == base::Endpoint{"127.0.0.1", 90}));
  for (const char* bad : {"", "https://127.0.0.1:90", "http://host:90", "http://127.0.0.1:90/x"}) {
    CHECK_TEXT(parseServerUrl(bad).has_error(), bad);
  }
}

TEST(DaemonSettingsTest, crossedSettingsAreRefusedAlsoByTheCheck) {
  const std::string member = "1@10.0.0.1:70@10.0.0.1:80@z";
  const std::vector<std::vector<std::string>> refused = {
      {},
      {"--data-dir", "d", "--check-quorum-timeout-ms", "501"},
      {"--data-dir", "d", "--election-timeout-max-ms", "499"},
      {"--data-dir", "d", "--platform-url", "http://host:1"},
      {"--data-dir", "d", "--initial-members", "1"},
      {"--data-dir", "d", "--initial-members", member + "," + member},
      {"--data-dir", "d", "--join", "--initial-members", member},
  };
  for (std::vector<std::string> arguments : refused) {
    for (int round = 0; round < 2; ++round) {
      ControllerSettingsBinder binder;
      const auto parsed = parse(binder, arguments);
      CHECK(parsed.exitNow);
      CHECK(parsed.exitCode == ExitCode::badSettings);
      arguments.emplace_back("--check-settings");
    }
  }
  RouterSettingsBinder router;
  CHECK(parse(router, {"--zone", "z"}).exitCode == ExitCode::badSettings);
}

TEST(DaemonSettingsTest, bareFlagsAndValuesArriveWhereTheyBelong) {
  ControllerSettingsBinder controller;
  CHECK_FALSE(parse(controller, {"--init", "--data-dir", "d", "--region", "3", "--cell", "4",
                                 "--segment-bytes", "65536", "--api-timeout-ms", "70"})
                  .exitNow);
  CHECK(controller.settings().init);
  CHECK_FALSE(controller.settings().join);
  CHECK((controller.settings().cell == base::CellId{3, 4}));
  LONGS_EQUAL(65536, controller.settings().segmentBytes);
  CHECK(controller.settings().logic.apiTimeout == std::chrono::milliseconds(70));

  RouterSettingsBinder router;
  CHECK_FALSE(parse(router, {"--controllers", "127.0.0.1:1,127.0.0.1:2", "--when-unconfirmed",
                             "serve", "--max-queued", "9", "--zone", "north"})
                  .exitNow);
  LONGS_EQUAL(2, router.settings().logic.controllers.size());
  CHECK(router.settings().logic.unconfirmedPolicy == routing::UnconfirmedPolicy::serve);
  LONGS_EQUAL(9, router.settings().logic.maxQueued);
  STRCMP_EQUAL("north", router.settings().logic.zone.value.c_str());
}
