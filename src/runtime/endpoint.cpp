/// @file
/// Text form of endpoints: "192.0.2.1:80", "[2001:db8::1]:80".

#include <Poco/Net/IPAddress.h>

#include <charconv>

#include "walnut/runtime/settings.h"

namespace walnut::runtime {

namespace {

base::Error notAnEndpoint(const std::string& text) {
  return {base::ErrorCode::wrongType, "endpoint", "'" + text + "' is not IP-NUMBER:PORT"};
}

}  // namespace

base::Result<base::Endpoint> parseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return notAnEndpoint(text);
  }
  std::string address = text.substr(0, colon);
  const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  Poco::Net::IPAddress parsed;
  if (!Poco::Net::IPAddress::tryParse(address, parsed)) {
    return notAnEndpoint(text);
  }
  const bool isVersion6 = parsed.family() == Poco::Net::IPAddress::IPv6;
  if (isVersion6 != bracketed) {
    return notAnEndpoint(text);
  }
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data() + colon + 1, end, port);
  if (failure == std::errc::result_out_of_range) {
    return base::Error{base::ErrorCode::outOfRange, "endpoint", "the port is above 65535"};
  }
  if (failure != std::errc() || rest != end) {
    return notAnEndpoint(text);
  }
  return base::Endpoint{address, port};
}

std::string formatEndpoint(const base::Endpoint& endpoint) {
  const bool isVersion6 = endpoint.address.find(':') != std::string::npos;
  const std::string address = isVersion6 ? "[" + endpoint.address + "]" : endpoint.address;
  return address + ":" + std::to_string(endpoint.port);
}

}  // namespace walnut::runtime
