#include "net/http_client.h"

#include <utility>

namespace walnut::net {

namespace {

using base::Error;
using base::ErrorCode;

constexpr std::size_t kMaxCallBodyBytes = 4U << 20U;

}  // namespace

class HttpClient::Call : public ResponseCallbacks {
 public:
  Call(HttpClient& owner, std::string key, Callback callback, ConnectionUse use)
      : owner_(owner),
        key_(std::move(key)),
        use_(use),
        callback_(std::move(callback)),
        timer_(owner.dispatcher_.createTimer([this] {
          fail({ErrorCode::timedOut, "call", "no whole answer in time"}, true);
        })) {}

  void start(const base::Endpoint& remote, const HttpRequest& request, base::Duration timeout) {
    timer_->enableAt(owner_.dispatcher_.now() + timeout);
    connection_ = owner_.pool_.acquire(key_, remote, {{}, use_ == ConnectionUse::own});
    connection_->send(request, *this);
  }

  void invoke(CallOutcome outcome) { callback_(std::move(outcome)); }

 private:
  bool onResponseHead(MessageHead head) override {
    response_.head.status = head.status;
    response_.head.reason = std::move(head.reason);
    response_.head.headers = std::move(head.headers);
    return true;
  }
  void onResponseBody(std::string_view bytes) override {
    if (response_.body.size() + bytes.size() > kMaxCallBodyBytes) {
      fail({ErrorCode::inputTooLarge, "body", "the answer is too large"}, true);
      return;
    }
    response_.body.append(bytes);
  }
  void onResponseComplete() override {
    timer_->disable();
    endConnection();
    owner_.finish(*this, {std::move(response_), true});
  }
  void onResponseFailure(const Error& error, bool sent) override { fail(error, sent); }

  void endConnection() {
    if (use_ == ConnectionUse::pooled) {
      owner_.pool_.release(key_, std::move(connection_));
      return;
    }
    connection_->cancel();
    owner_.dispatcher_.destroySoon(std::move(connection_));
  }

  void fail(const Error& error, bool sent) {
    timer_->disable();
    connection_->cancel();
    owner_.dispatcher_.destroySoon(std::move(connection_));
    owner_.finish(*this, {error, sent});
  }

  HttpClient& owner_;
  const std::string key_;
  const ConnectionUse use_;
  const Callback callback_;
  event::TimerPtr timer_;
  std::unique_ptr<ClientConnection> connection_;
  HttpResponse response_;
};

HttpClient::HttpClient(event::Dispatcher& dispatcher, const ClientPoolOptions& options)
    : dispatcher_(dispatcher), pool_(dispatcher, options) {}

HttpClient::~HttpClient() = default;

void HttpClient::call(const std::string& key, const base::Endpoint& remote,
                      const HttpRequest& request, base::Duration timeout, Callback callback,
                      ConnectionUse use) {
  auto call = std::make_unique<Call>(*this, key, std::move(callback), use);
  Call* const started = call.get();
  calls_.emplace(started, std::move(call));
  started->start(remote, request, timeout);
}

void HttpClient::finish(Call& call, CallOutcome outcome) {
  const auto found = calls_.find(&call);
  std::unique_ptr<Call> ended = std::move(found->second);
  calls_.erase(found);
  ended->invoke(std::move(outcome));
  dispatcher_.destroySoon(std::move(ended));
}

}  // namespace walnut::net
