#include "walnut/net/http_message.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/StringTokenizer.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace walnut::net {

namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade",    "Content-Length"};

bool sameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() && ::strncasecmp(left.data(), right.data(), left.size()) == 0;
}

void appendHeaders(std::string& text, const HeaderList& headers) {
  for (const Header& header : headers.all()) {
    text += header.name;
    text += ": ";
    text += header.value;
    text += "\r\n";
  }
  text += "\r\n";
}

}  // namespace

void HeaderList::add(std::string name, std::string value) {
  headers_.push_back({std::move(name), std::move(value)});
}

void HeaderList::set(std::string_view name, std::string value) {
  remove(name);
  headers_.push_back({std::string(name), std::move(value)});
}

void HeaderList::remove(std::string_view name) {
  std::erase_if(headers_, [name](const Header& header) { return sameName(header.name, name); });
}

const std::string* HeaderList::find(std::string_view name) const {
  for (const Header& header : headers_) {
    if (sameName(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

std::optional<std::uint64_t> HeaderList::findNumber(std::string_view name) const {
  const std::string* text = find(name);
  if (text == nullptr) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const char* const end = text->data() + text->size();
  const auto [rest, failure] = std::from_chars(text->data(), end, value);
  if (failure != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

std::string_view HttpRequest::path() const {
  const std::string_view whole = target;
  return whole.substr(0, whole.find('?'));
}

void removeConnectionHeaders(HeaderList& headers) {
  std::vector<std::string> nominated;
  for (const Header& header : headers.all()) {
    if (!sameName(header.name, "Connection")) {
      continue;
    }
    const Poco::StringTokenizer tokens(
        header.value, ",",
        Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    nominated.insert(nominated.end(), tokens.begin(), tokens.end());
  }
  for (const std::string& name : nominated) {
    headers.remove(name);
  }
  for (const std::string_view name : kConnectionHeaders) {
    headers.remove(name);
  }
}

std::string_view reasonPhrase(int status) {
  return Poco::Net::HTTPResponse::getReasonForStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
}

std::string encodeRequestHead(const HttpRequest& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  appendHeaders(text, request.headers);
  return text;
}

std::string encodeResponseHead(const HttpResponseHead& head) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
  text += head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason);
  text += "\r\n";
  appendHeaders(text, head.headers);
  return text;
}

}  // namespace walnut::net
