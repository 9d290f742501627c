#include "rehearsal/link_proxy.h"

#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace walnut::rehearsal {

namespace {

constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);
constexpr base::Duration kUnackedTimeout = std::chrono::seconds(30);

}  // namespace

/// A caller's connection and the one to the server that belongs to it.
class LinkProxy::Pair {
 public:
  Pair(LinkProxy& proxy, const Poco::Net::StreamSocket& socket)
      : proxy_(proxy),
        caller_(*this, LinkFault::dropRequests),
        server_(*this, LinkFault::dropAnswers) {
    caller_.connection = std::make_unique<net::Connection>(proxy.dispatcher_, socket, caller_);
    server_.connection = std::make_unique<net::Connection>(
        proxy.dispatcher_, proxy.server_, kConnectTimeout, kUnackedTimeout, server_);
    caller_.other = &server_;
    server_.other = &caller_;
  }

  void close() {
    if (!closed_) {
      closed_ = true;
      caller_.connection->close();
      server_.connection->close();
      proxy_.release(*this);
    }
  }

 private:
  /// One of the two connections.
  struct Side : net::ConnectionCallbacks {
    Side(Pair& owner, LinkFault dropped)
        : pair(owner),
          dropFault(dropped),
          timer(owner.proxy_.dispatcher_.createTimer([this] { deliver(); })) {}

    void onData(std::string_view bytes) override { pass(std::string(bytes)); }
    void onEndOfStream() override { pass({}); }
    void onEnd(const base::Error& /*error*/) override { pass({}); }

    /// @param bytes empty: the connection has ended.
    void pass(std::string bytes) {
      const LinkFault fault = pair.proxy_.fault_;
      lossy = lossy || fault == LinkFault::silent || fault == dropFault;
      if (lossy) {
        return;
      }
      event::Dispatcher& dispatcher = pair.proxy_.dispatcher_;
      waiting.emplace_back(dispatcher.now() + pair.proxy_.delay_, std::move(bytes));
      timer->enableAt(waiting.front().first);
    }

    void deliver() {
      const base::TimePoint now = pair.proxy_.dispatcher_.now();
      while (!waiting.empty() && waiting.front().first <= now) {
        const std::string bytes = std::move(waiting.front().second);
        waiting.pop_front();
        if (bytes.empty()) {
          pair.close();
          return;
        }
        other->connection->write(bytes);
      }
      if (!waiting.empty()) {
        timer->enableAt(waiting.front().first);
      }
    }

    Pair& pair;
    const LinkFault dropFault;
    std::unique_ptr<net::Connection> connection;
    Side* other = nullptr;
    std::deque<std::pair<base::TimePoint, std::string>> waiting;
    event::TimerPtr timer;
    bool lossy = false;  ///< Bytes are missing, so nothing more is passed on.
  };

  LinkProxy& proxy_;
  Side caller_;
  Side server_;
  bool closed_ = false;
};

LinkProxy::LinkProxy(event::Dispatcher& dispatcher, const base::Endpoint& server)
    : dispatcher_(dispatcher), server_(server) {}

base::Result<std::unique_ptr<LinkProxy>> LinkProxy::open(event::Dispatcher& dispatcher,
                                                         const base::Endpoint& listen,
                                                         const base::Endpoint& server) {
  std::unique_ptr<LinkProxy> proxy(new LinkProxy(dispatcher, server));
  BOOST_OUTCOME_TRY(
      listener, net::Listener::open(dispatcher, listen,
                                    [owner = proxy.get()](const Poco::Net::StreamSocket& socket) {
                                      owner->accept(socket);
                                    }));
  proxy->listener_ = std::move(listener);
  return proxy;
}

LinkProxy::~LinkProxy() = default;

void LinkProxy::accept(const Poco::Net::StreamSocket& socket) {
  auto pair = std::make_unique<Pair>(*this, socket);
  Pair* const key = pair.get();
  pairs_[key] = std::move(pair);
}

void LinkProxy::release(Pair& pair) {
  const auto found = pairs_.find(&pair);
  if (found != pairs_.end()) {
    std::unique_ptr<Pair> ended = std::move(found->second);
    pairs_.erase(found);
    dispatcher_.destroySoon(std::move(ended));
  }
}

void LinkProxy::closeAll() {
  std::vector<Pair*> open;
  for (const auto& [pair, owned] : pairs_) {
    open.push_back(pair);
  }
  for (Pair* const pair : open) {
    pair->close();
  }
}

}  // namespace walnut::rehearsal
