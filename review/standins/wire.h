#pragma once
/// @file
/// Small blocking HTTP/1.1 helpers for the stand-ins of the review's cases.

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace review {

/// Milliseconds of the steady clock.
std::int64_t nowMillis();
void sleepMillis(std::int64_t millis);

/// The case's record: one line per event, with the time since its start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::int64_t start_;
  int file_;
};

struct Address {
  std::string ip;
  int port = 0;
};

/// @return the address of "IP:PORT".
Address parseAddress(const std::string& text);

struct Message {
  std::string startLine;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  std::string header(const std::string& name) const;
  int status() const;
};

/// A TCP connection on a loopback address.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();

  static Socket connectTo(const Address& address);
  bool open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  void close();
  bool write(const std::string& bytes);
  /// Reads one message with a length, in chunks or (of an answer) up to the end of the connection.
  std::optional<Message> read(std::int64_t timeoutMillis);
  /// @return true if the other side has closed.
  bool peerClosed() const;

 private:
  bool fill(std::int64_t deadline);
  std::optional<std::string> readLine(std::int64_t deadline);
  bool readBytes(std::size_t count, std::int64_t deadline, std::string& bytes);

  int descriptor_ = -1;
  std::string buffer_;
};

/// Listens on an address. @return the descriptor, -1 if that fails.
int listenOn(const Address& address);

/// One call on a connection of its own. @return nothing without a whole answer.
std::optional<Message> call(const Address& address, const std::string& method,
                            const std::string& path, const std::string& body,
                            std::int64_t timeoutMillis);

}  // namespace review
