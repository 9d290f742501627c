#include "simulator/fleet_document.h"

#include <sstream>

namespace walnut::simulator {

namespace {

constexpr std::size_t kTextBytesPerRoute = 240;

/// As unlike each other as an operator's, so that they pack as badly.
std::string makeName(std::size_t number) {
  constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15U;
  return std::to_string(number * kGoldenRatio % 100'000'000);
}

catalog::Route makeRoute(std::size_t number) {
  catalog::Route route;
  route.name = "r-" + makeName(number);
  route.host = "host.example";
  route.pathPrefix = "/" + makeName(number + 1'000'000) + "/";
  route.timeout = std::chrono::seconds(15);
  route.services = {{"service", 1}};
  return route;
}

}  // namespace

std::string fleetDocumentText(std::uint64_t version, std::size_t routes) {
  std::string text = std::to_string(version) + " " + std::to_string(routes) + " ";
  text.resize(text.size() + routes * kTextBytesPerRoute, '.');
  return text;
}

base::Result<catalog::Document> FleetDocumentReader::read(const std::string& text) const {
  bytesRead_ += text.size();
  catalog::Document document;
  std::size_t routes = 0;
  std::istringstream input(text.substr(0, 64));
  if (!(input >> document.version >> routes)) {
    return base::Error{base::ErrorCode::malformedInput, "version", "not a fleet's document"};
  }
  for (std::size_t number = 0; number < routes; ++number) {
    document.routes.push_back(makeRoute(number));
  }
  document.keyed = true;
  document.tenants.push_back({"tenant", {"key-" + std::to_string(document.version)}, std::nullopt});
  document.services.push_back({"service", "/healthz", 0, std::nullopt});
  return document;
}

}  // namespace walnut::simulator
