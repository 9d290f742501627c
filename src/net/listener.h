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

/// Accepts connections until destroyed. Pauses briefly when accepting fails, which happens when the
/// process has run out of file descriptors.
class Listener : public event::SocketHandler {
 public:
  using AcceptCallback = std::function<void(const Poco::Net::StreamSocket& socket)>;

  /// @param endpoint address to listen on; port 0 lets the kernel choose a port.
  static base::Result<std::unique_ptr<Listener>> open(event::Dispatcher& dispatcher,
                                                      const base::Endpoint& endpoint,
                                                      AcceptCallback onAccept);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// @return the bound address, with the actual port.
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
