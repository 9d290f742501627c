#include "walnut/runtime/settings.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace walnut;
using base::ErrorCode;
using runtime::ExitCode;
using runtime::Settings;

namespace {

/// Settings with one key of every kind, and the variables they are bound to.
struct Values {
  std::string name = "unnamed";
  std::string mode = "fast";
  std::int64_t count = 3;
  double ratio = 0.5;
  bool enabled = false;
  base::Duration interval = std::chrono::milliseconds(100);
  base::Endpoint listen;
  std::vector<std::string> zones;
  std::vector<base::Endpoint> peers;
  Settings settings{"walnut-example", "An example."};

  Values() {
    settings.addString("name", name, "name");
    settings.addChoice("mode", mode, {"fast", "slow"}, "mode");
    settings.addInteger("count", count, 1, 10, "count");
    settings.addReal("ratio", ratio, 0, 1, "ratio");
    settings.addBoolean("enabled", enabled, "enabled");
    settings.addMillis("interval-ms", interval, 10, 5000, "interval");
    settings.addEndpoint("listen", listen, "listen");
    settings.addStringList("zones", zones, "zones");
    settings.addEndpointList("peers", peers, "peers");
  }
};

Settings::Parsed parseFlags(Values& values, std::vector<std::string> flags) {
  flags.insert(flags.begin(), "walnut-example");
  std::vector<char*> arguments;
  for (std::string& flag : flags) {
    arguments.push_back(flag.data());
  }
  arguments.push_back(nullptr);
  return values.settings.parse(static_cast<int>(flags.size()), arguments.data());
}

}  // namespace

TEST_GROUP(SettingsTest){};

TEST(SettingsTest, yamlSetsEveryKind) {
  Values values;
  const auto applied = values.settings.applyYaml(
      "name: a b\nmode: slow\ncount: 10\nratio: 0.25\nenabled: true\ninterval-ms: 20\n"
      "listen: 127.0.0.1:80\nzones: [north, south]\npeers: ['[::1]:9', 127.0.0.2:0]\n",
      "example.yaml");
  CHECK_TRUE(applied.has_value());
  STRCMP_EQUAL("a b", values.name.c_str());
  STRCMP_EQUAL("slow", values.mode.c_str());
  LONGS_EQUAL(10, values.count);
  DOUBLES_EQUAL(0.25, values.ratio, 0);
  CHECK_TRUE(values.enabled);
  LONGS_EQUAL(20000, values.interval.count());
  CHECK_TRUE((values.listen == base::Endpoint{"127.0.0.1", 80}));
  LONGS_EQUAL(2, values.zones.size());
  CHECK_TRUE((values.peers == std::vector<base::Endpoint>{{"::1", 9}, {"127.0.0.2", 0}}));
}

TEST(SettingsTest, emptyDocumentKeepsDefaults) {
  Values values;
  CHECK_TRUE(values.settings.applyYaml("# nothing\n", "example.yaml").has_value());
  LONGS_EQUAL(3, values.count);
}

TEST(SettingsTest, faultyYamlIsRefusedWithFileLineKeyAndRange) {
  struct Fault {
    const char* text;
    ErrorCode code;
    const char* field;
    const char* inDetail;
  };
  const std::vector<Fault> faults = {
      {"count: 3\nno-such: 1\n", ErrorCode::unknownField, "no-such", "f.yaml:2"},
      {"count: 3\n\ncount: 4\n", ErrorCode::malformedInput, "count", "f.yaml:3"},
      {"count: 0\n", ErrorCode::outOfRange, "count", "'0': out of range; accepted: 1 .. 10"},
      {"count: 11\n", ErrorCode::outOfRange, "count", "1 .. 10"},
      {"count: 99999999999999999999\n", ErrorCode::outOfRange, "count", "1 .. 10"},
      {"count: 3.0\n", ErrorCode::wrongType, "count", "'3.0'"},
      {"count: three\n", ErrorCode::wrongType, "count", "f.yaml:1"},
      {"count:\n", ErrorCode::wrongType, "count", "one value"},
      {"count: [3]\n", ErrorCode::wrongType, "count", "one value"},
      {"count: {a: 3}\n", ErrorCode::wrongType, "count", "one value"},
      {"ratio: nan\n", ErrorCode::outOfRange, "ratio", "0 .. 1"},
      {"ratio: 1.01\n", ErrorCode::outOfRange, "ratio", "0 .. 1"},
      {"ratio: 0.5x\n", ErrorCode::wrongType, "ratio", "'0.5x'"},
      {"enabled: yes\n", ErrorCode::wrongType, "enabled", "true | false"},
      {"mode: medium\n", ErrorCode::outOfRange, "mode", "fast | slow"},
      {"interval-ms: 9\n", ErrorCode::outOfRange, "interval-ms", "10 .. 5000 ms"},
      {"listen: localhost:80\n", ErrorCode::wrongType, "listen", "IP-NUMBER:PORT"},
      {"listen: 127.0.0.1\n", ErrorCode::wrongType, "listen", "IP-NUMBER:PORT"},
      {"listen: '127.0.0.1:'\n", ErrorCode::wrongType, "listen", "IP-NUMBER:PORT"},
      {"listen: '::1:80'\n", ErrorCode::wrongType, "listen", "IP-NUMBER:PORT"},
      {"listen: 127.0.0.1:65536\n", ErrorCode::outOfRange, "listen", "65535"},
      {"zones: north\n", ErrorCode::wrongType, "zones", "a list"},
      {"zones: [north, '']\n", ErrorCode::outOfRange, "zones", "empty"},
      {"zones: [[north]]\n", ErrorCode::wrongType, "zones", "item"},
      {"peers: [127.0.0.1:1, x]\n", ErrorCode::wrongType, "peers", "'x'"},
      {"- count\n", ErrorCode::wrongType, "f.yaml", "f.yaml:1"},
      {"[a]: 1\n", ErrorCode::wrongType, "f.yaml", "f.yaml:1"},
      {"count: 3\nname: 'open\n", ErrorCode::malformedInput, "f.yaml", "f.yaml:"},
      {"count: 3\n---\ncount: 4\n", ErrorCode::malformedInput, "f.yaml", "more than one"},
  };
  for (const Fault& fault : faults) {
    Values values;
    const auto applied = values.settings.applyYaml(fault.text, "f.yaml");
    CHECK_TRUE_TEXT(applied.has_error(), fault.text);
    CHECK_TRUE_TEXT(applied.error().code == fault.code, fault.text);
    STRCMP_EQUAL_TEXT(fault.field, applied.error().field.c_str(), fault.text);
    STRCMP_CONTAINS_TEXT(fault.inDetail, applied.error().detail.c_str(), fault.text);
  }
}

TEST(SettingsTest, flagsSetEveryKindAndLeavePositionals) {
  Values values;
  const auto parsed =
      parseFlags(values, {"apply", "--count", "7", "--zones=a,b", "--listen", "[::1]:5",
                          "--enabled", "true", "--peers", "127.0.0.1:1,127.0.0.1:2", "file"});
  CHECK_FALSE(parsed.exitNow);
  LONGS_EQUAL(7, values.count);
  LONGS_EQUAL(2, values.zones.size());
  LONGS_EQUAL(2, values.peers.size());
  CHECK_TRUE(values.enabled);
  CHECK_TRUE((parsed.positional == std::vector<std::string>{"apply", "file"}));
}

TEST(SettingsTest, parseEndsTheProgramWithTheRightCode) {
  struct Case {
    std::vector<std::string> flags;
    ExitCode code;
  };
  const std::vector<Case> cases = {
      {{"--help"}, ExitCode::ok},
      {{"--version"}, ExitCode::ok},
      {{"--check-settings"}, ExitCode::ok},
      {{"--no-such"}, ExitCode::usage},
      {{"--count"}, ExitCode::usage},
      {{"--count", "11"}, ExitCode::usage},
      {{"--count", "2", "--count", "3"}, ExitCode::usage},
      {{"--zones", "a,,b"}, ExitCode::usage},
      {{"-x"}, ExitCode::usage},
      {{"--settings", "no/such/file.yaml"}, ExitCode::badSettings},
      {{"--settings", "."}, ExitCode::badSettings},
  };
  for (const Case& testCase : cases) {
    Values values;
    const auto parsed = parseFlags(values, testCase.flags);
    CHECK_TRUE_TEXT(parsed.exitNow, testCase.flags.front().c_str());
    LONGS_EQUAL_TEXT(testCase.code, parsed.exitCode, testCase.flags.front().c_str());
  }
}

TEST(SettingsTest, endpointTextRoundTrips) {
  for (const char* text : {"127.0.0.1:80", "[::1]:65535", "0.0.0.0:0"}) {
    STRCMP_EQUAL(text, runtime::formatEndpoint(runtime::parseEndpoint(text).value()).c_str());
  }
}
