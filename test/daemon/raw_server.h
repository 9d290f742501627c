#pragma once
/// @file
/// A server of the tests that answers with exactly the bytes that a case wants.

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "walnut/base/ids.h"

namespace walnut::daemon {

/// One accepted connection.
class RawConnection {
 public:
  explicit RawConnection(Poco::Net::StreamSocket socket) : socket_(std::move(socket)) {}

  /// Reads one request with its body. @return false if the client has gone.
  bool readRequest() {
    std::string text;
    std::size_t headEnd = std::string::npos;
    while ((headEnd = text.find("\r\n\r\n")) == std::string::npos) {
      if (!readInto(text)) {
        return false;
      }
    }
    const std::size_t length = contentLength(text.substr(0, headEnd));
    while (text.size() < headEnd + 4 + length) {
      if (!readInto(text)) {
        return false;
      }
    }
    body = text.substr(headEnd + 4);
    return true;
  }

  void write(const std::string& bytes) {
    try {
      std::size_t sent = 0;
      while (sent < bytes.size()) {
        sent += static_cast<std::size_t>(
            socket_.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
      }
    } catch (const Poco::Exception&) {  // The client has gone.
    }
  }

  /// Blocks until the client closes the connection.
  void awaitClose() {
    std::string ignored;
    while (readInto(ignored)) {
    }
  }

  void close() { socket_.close(); }
  void shutdown() {
    try {
      socket_.shutdown();
    } catch (const Poco::Exception&) {  // It is closed already.
    }
  }

  std::string body;  ///< Of the last request.

 private:
  bool readInto(std::string& text) {
    char block[4096];
    try {
      const int count = socket_.receiveBytes(block, sizeof(block));
      if (count > 0) {
        text.append(block, static_cast<std::size_t>(count));
      }
      return count > 0;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  static std::size_t contentLength(const std::string& head) {
    static const std::string kName = "Content-Length: ";
    const std::size_t at = head.find(kName);
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + kName.size()));
  }

  Poco::Net::StreamSocket socket_;
};

/// Serves each connection on a thread of its own, on a port picked by the kernel.
class RawServer {
 public:
  using Script = std::function<void(RawConnection&)>;

  explicit RawServer(Script script) : script_(std::move(script)) {
    listener_.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    listener_.listen();
    thread_ = std::thread([this] { accept(); });
  }

  ~RawServer() {
    stopping_ = true;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& connection : connections_) {
        connection->shutdown();
      }
    }
    try {
      Poco::Net::StreamSocket wake(listener_.address());
    } catch (const Poco::Exception&) {  // It stops anyhow.
    }
    thread_.join();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  base::Endpoint endpoint() const { return {"127.0.0.1", listener_.address().port()}; }
  int accepted() const { return accepted_; }

 private:
  void accept() {
    while (true) {
      auto connection = std::make_shared<RawConnection>(listener_.acceptConnection());
      if (stopping_) {
        return;
      }
      ++accepted_;
      const std::lock_guard lock(mutex_);
      connections_.push_back(connection);
      threads_.emplace_back([this, connection] {
        script_(*connection);
        connection->shutdown();
      });
    }
  }

  const Script script_;
  Poco::Net::ServerSocket listener_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> accepted_ = 0;
  std::mutex mutex_;
  std::vector<std::shared_ptr<RawConnection>> connections_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

/// @return an endpoint that refuses connections.
inline base::Endpoint refusingEndpoint() {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  return {"127.0.0.1", socket.address().port()};
}

inline std::string chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

inline std::string plainReply(int status, const std::string& body,
                              const std::string& connection = "keep-alive") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nConnection: " + connection +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace walnut::daemon
