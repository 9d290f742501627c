#include "rehearsal/http_client.h"

#include <limits>
#include <utility>

namespace walnut::rehearsal {

base::Result<std::unique_ptr<HttpExchange>> HttpExchange::open(const HttpCall& call) {
  std::unique_ptr<HttpExchange> exchange(new HttpExchange);
  http::HttpClientConnection& connection = exchange->connection_;
  BOOST_OUTCOME_TRYV(connection.connect(call.server, call.timeout));
  BOOST_OUTCOME_TRYV(connection.setTimeout(call.timeout));
  http::ClientRequest request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  for (const HttpHeader& header : call.headers) {
    request.headers.push_back({header.name, header.value});
  }
  BOOST_OUTCOME_TRYV(connection.send(request, false));
  BOOST_OUTCOME_TRY(head, connection.receiveHead());
  exchange->head_ = std::move(head);
  return exchange;
}

std::optional<std::string> HttpExchange::header(const std::string& name) const {
  const std::string* value = head_.headers.find(name);
  return value == nullptr ? std::nullopt : std::optional<std::string>(*value);
}

std::optional<std::string> HttpExchange::readLine() {
  std::size_t end = received_.find('\n');
  while (end == std::string::npos && !ended_) {
    const auto bytes = connection_.readSome();
    ended_ = bytes.has_error() || bytes.value().empty();
    received_ += ended_ ? std::string_view() : bytes.value();
    end = received_.find('\n');
  }
  if (end == std::string::npos && received_.empty()) {
    return std::nullopt;
  }
  std::string line = received_.substr(0, end);
  received_.erase(0, end == std::string::npos ? end : end + 1);
  if (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  return line;
}

base::Result<std::string> HttpExchange::readRest() {
  constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();
  BOOST_OUTCOME_TRY(rest, connection_.readBody(kNoLimit - received_.size()));
  return std::exchange(received_, {}) + rest;
}

base::Result<HttpReply> httpCall(const HttpCall& call) {
  BOOST_OUTCOME_TRY(exchange, HttpExchange::open(call));
  BOOST_OUTCOME_TRY(body, exchange->readRest());
  return HttpReply{exchange->status(), std::move(body)};
}

}  // namespace walnut::rehearsal
