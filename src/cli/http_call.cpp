#include "cli/http_call.h"

#include <utility>

namespace walnut::cli {

using base::Error;
using base::ErrorCode;
using base::Result;

Result<std::unique_ptr<HttpResponse>> HttpResponse::request(const base::Endpoint& controller,
                                                            const HttpCall& call,
                                                            base::Duration timeout) {
  std::unique_ptr<HttpResponse> response(new HttpResponse);
  http::HttpClientConnection& connection = response->connection_;
  BOOST_OUTCOME_TRYV(connection.connect(controller, timeout));
  BOOST_OUTCOME_TRYV(connection.setTimeout(timeout));
  http::ClientRequest request;
  request.method = call.method;
  request.path = call.target;
  request.body = call.body;
  if (!call.requestId.empty()) {
    request.headers.push_back({"Walnut-Request-Id", call.requestId});
  }
  BOOST_OUTCOME_TRYV(connection.send(request, false));
  BOOST_OUTCOME_TRY(head, connection.receiveHead());
  response->status_ = head.status;
  return response;
}

Result<std::string> HttpResponse::readBody() { return connection_.readBody(kMaxAnswerBytes); }

Result<std::string> HttpResponse::readLine() {
  std::size_t end = received_.find('\n');
  while (end == std::string::npos && received_.size() <= kMaxAnswerBytes) {
    BOOST_OUTCOME_TRY(bytes, connection_.readSome());
    if (bytes.empty()) {
      return Error{ErrorCode::connectionLost, "controller", "the stream ended"};
    }
    const std::size_t searched = received_.size();
    received_ += bytes;
    end = received_.find('\n', searched);
  }
  if (end == std::string::npos) {
    return Error{ErrorCode::inputTooLarge, "line", "the line is above 4 MiB"};
  }
  std::string line = received_.substr(0, end);
  received_.erase(0, end + 1);
  return line;
}

}  // namespace walnut::cli
