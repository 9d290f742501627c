/// @file
/// Subcommand free-ports: for scripts that must know ports before the processes start.

#include <Poco/Net/ServerSocket.h>

#include <charconv>
#include <iostream>
#include <string_view>
#include <vector>

#include "commands.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

constexpr unsigned kMaxPorts = 4096;

/// @return ports that are free on loopback, all different: all are held until the last is known.
std::vector<std::uint16_t> findFreePorts(unsigned count) {
  std::vector<Poco::Net::ServerSocket> sockets(count);
  std::vector<std::uint16_t> ports;
  for (Poco::Net::ServerSocket& socket : sockets) {
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    ports.push_back(socket.address().port());
  }
  return ports;
}

}  // namespace

int runFreePorts(int argc, char** argv) {
  runtime::Settings settings("walnut-rehearse free-ports", "Usage: free-ports COUNT");
  const runtime::Settings::Parsed parsed = settings.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  const std::string text = parsed.positional.size() == 1 ? parsed.positional.front() : "";
  unsigned count = 0;
  const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), count);
  const bool whole = failure == std::errc() && rest == text.data() + text.size();
  if (!whole || count == 0 || count > kMaxPorts) {
    std::cerr << "walnut-rehearse free-ports: COUNT is 1 .. " << kMaxPorts << "\n";
    return static_cast<int>(runtime::ExitCode::usage);
  }
  for (const std::uint16_t port : findFreePorts(count)) {
    std::cout << port << "\n";
  }
  return static_cast<int>(runtime::ExitCode::ok);
}

}  // namespace walnut::rehearsal
