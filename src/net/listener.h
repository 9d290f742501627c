#pragma once
/// @file
/// A listening TCP socket on the event loop.

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>

#include "event/dispatcher.h"
#include "walnut/base/error.h"
#include "walnut/base/ids.h"

namespace walnut::net {

/// Accepts until destroyed. Pauses for a moment when the process has no more descriptors.
class Listener : public event::SocketHandler {
 public:
  using AcceptCallback = std::function<void(const Poco::Net::StreamSocket& socket)>;

  /// @param endpoint port 0: picked by the kernel.
  static base::Result<std::unique_ptr<Listener>> open(event::Dispatcher& dispatcher,
                                                      const base::Endpoint& endpoint,
                                                      AcceptCallback onAccept);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Where it listens.
  const base::Endpoint& endpoint() const { return endpoint_; }

 private:
  Listener(event::Dispatcher& dispatcher, const Poco::Net::ServerSocket& socket,
           base::Endpoint endpoint, AcceptCallback onAccept);
  void onReady(int mode) override;

  event::Dispatcher& dispatcher_;
  Poco::Net::ServerSocket socket_;
  const base::Endpoint endpoint_;
  const AcceptCallback onAccept_;
  event::TimerPtr resumeTimer_;
};

}  // namespace walnut::net
