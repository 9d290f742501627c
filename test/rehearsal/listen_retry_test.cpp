/// The programs of the users' platform on addresses that are in use when they start.

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "rehearsal/child_process.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut::rehearsal;
using namespace std::chrono_literals;

namespace {

std::string settingsOf(const std::string& folder, int port, int otherPort, int peerPort) {
  const std::string address = "\"127.0.0.1:" + std::to_string(port) + "\"";
  return "name: \"n\"\nzone: \"z\"\nlisten: " + address + "\nseeds: [" + address +
         "]\npeer-port: " + std::to_string(peerPort) + "\n" +
         (folder.empty() ? "readiness: \"127.0.0.1:" + std::to_string(otherPort) +
                               "\"\nretry-ratio: 0.2\nretry-slack: 52\ngrace-seconds: 8\n"
                         : "data-folder: \"" + folder + "/data\"\nbootstrap: true\n" +
                               "tolerable-losses: 0\nheartbeat-ms: 1200\n");
}

int freePort() {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  return socket.address().port();
}

bool accepts(int port) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)),
                   Poco::Timespan(1, 0));
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

/// Starts the program while its address is in use, and frees the address a second later.
void checkWaitsForAddress(const char* program, const char* role, bool withData) {
  std::string folder = (std::filesystem::temp_directory_path() / "walnut-listen-XXXXXX").string();
  CHECK(::mkdtemp(folder.data()) != nullptr);
  Poco::Net::ServerSocket occupied;
  occupied.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  occupied.listen();
  const int port = occupied.address().port();
  std::ofstream(folder + "/settings.yaml")
      << settingsOf(withData ? folder : "", port, freePort(), freePort());
  const auto bin = std::filesystem::canonical("/proc/self/exe").parent_path();
  auto child = ChildProcess::start(
      {(bin / program).string(), role, "--settings", folder + "/settings.yaml"}, folder + "/log");
  CHECK_TRUE(child.has_value());
  std::this_thread::sleep_for(1s);
  CHECK_TRUE_TEXT(child.value().isRunning(), "it waits for its address");
  occupied.close();
  bool served = false;
  for (int round = 0; round < 50 && !served; ++round) {
    std::this_thread::sleep_for(100ms);
    served = accepts(port);
  }
  CHECK_TRUE(served);
  std::filesystem::remove_all(folder);
}

}  // namespace

TEST_GROUP(ListenRetryTest){};

/// Guards against a machine that stays away after a crash, as the former process still holds its
/// address for a moment when the next one starts.
TEST(ListenRetryTest, aRegistryServerWaitsForItsAddress) {
  checkWaitsForAddress("walnut-controller", "registry", true);
}

TEST(ListenRetryTest, aGatewayWaitsForItsAddress) {
  checkWaitsForAddress("walnut-router", "gateway", false);
}
