#include "gateway/pooled_launcher.h"

#include <utility>

namespace walnut::gateway {

namespace {

class PooledAttempt : public Attempt {
 public:
  PooledAttempt(event::Dispatcher& dispatcher, net::ClientPool& pool, std::string key,
                std::unique_ptr<net::ClientConnection> connection)
      : dispatcher_(dispatcher),
        pool_(pool),
        key_(std::move(key)),
        connection_(std::move(connection)) {}

  void cancel() override {
    connection_->cancel();
    dispatcher_.destroySoon(std::move(connection_));
  }
  /// Reading is resumed: it may have been paused when the last part of the response came, and the
  /// next request would never be answered.
  void release() override {
    connection_->setReading(true);
    pool_.release(key_, std::move(connection_));
  }
  void setReading(bool enabled) override { connection_->setReading(enabled); }
  std::uint64_t connection() const override { return connection_->number(); }
  bool sharesConnection() const override { return connection_->carriedOthers(); }

 private:
  event::Dispatcher& dispatcher_;
  net::ClientPool& pool_;
  const std::string key_;
  std::unique_ptr<net::ClientConnection> connection_;
};

}  // namespace

std::unique_ptr<Attempt> PooledLauncher::start(const registry::WorkerRecord& worker,
                                               const net::HttpRequest& request,
                                               const net::ConnectionChoice& choice,
                                               net::ResponseCallbacks& callbacks) {
  std::unique_ptr<net::ClientConnection> connection =
      pool_.acquire(worker.id.value, worker.endpoint, choice);
  net::ClientConnection* const sending = connection.get();
  auto attempt =
      std::make_unique<PooledAttempt>(dispatcher_, pool_, worker.id.value, std::move(connection));
  sending->send(request, callbacks);
  return attempt;
}

}  // namespace walnut::gateway
