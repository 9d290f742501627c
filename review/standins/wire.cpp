#include "wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {

namespace {

sockaddr_in toSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char sign) { return static_cast<char>(std::tolower(sign)); });
  return text;
}

}  // namespace

std::int64_t nowMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void sleepMillis(std::int64_t millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

Record::Record(const std::string& path)
    : start_(nowMillis()), file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644)) {}

Record::~Record() { ::close(file_); }

void Record::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", static_cast<double>(nowMillis() - start_) / 1000.0);
  const std::string whole = time + text + "\n";
  if (::write(file_, whole.data(), whole.size()) < 0) {
    std::perror("record");
  }
}

Address parseAddress(const std::string& text) {
  const std::size_t colon = text.find(':');
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

std::string Message::header(const std::string& name) const {
  const auto found = headers.find(lower(name));
  return found == headers.end() ? std::string() : found->second;
}

int Message::status() const {
  const std::size_t space = startLine.find(' ');
  return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
}

Socket::Socket(Socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), buffer_(std::move(other.buffer_)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    buffer_ = std::move(other.buffer_);
  }
  return *this;
}

Socket::~Socket() { close(); }

void Socket::close() {
  if (descriptor_ >= 0) {
    ::close(std::exchange(descriptor_, -1));
  }
  buffer_.clear();
}

Socket Socket::connectTo(const Address& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in remote = toSockaddr(address);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) != 0) {
    ::close(descriptor);
    return {};
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return Socket(descriptor);
}

bool Socket::write(const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count =
        ::send(descriptor_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(count);
  }
  return true;
}

bool Socket::peerClosed() const {
  char sign = 0;
  const ssize_t count = ::recv(descriptor_, &sign, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Socket::fill(std::int64_t deadline) {
  const std::int64_t left = deadline - nowMillis();
  pollfd ready{descriptor_, POLLIN, 0};
  if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> Socket::readLine(std::int64_t deadline) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!fill(deadline)) {
      return std::nullopt;
    }
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

bool Socket::readBytes(std::size_t count, std::int64_t deadline, std::string& bytes) {
  while (buffer_.size() < count) {
    if (!fill(deadline)) {
      return false;
    }
  }
  bytes.append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

std::optional<Message> Socket::read(std::int64_t timeoutMillis) {
  const std::int64_t deadline = nowMillis() + timeoutMillis;
  Message message;
  auto line = readLine(deadline);
  if (!line) {
    return std::nullopt;
  }
  message.startLine = *line;
  while ((line = readLine(deadline)) && !line->empty()) {
    const std::size_t colon = line->find(':');
    std::size_t value = colon + 1;
    while (value < line->size() && (*line)[value] == ' ') {
      ++value;
    }
    message.headers[lower(line->substr(0, colon))] = line->substr(value);
  }
  if (!line) {
    return std::nullopt;
  }
  if (message.header("transfer-encoding") == "chunked") {
    while (true) {
      const auto size = readLine(deadline);
      if (!size) {
        return std::nullopt;
      }
      const std::size_t count = std::strtoul(size->c_str(), nullptr, 16);
      if (count > 0 && !readBytes(count, deadline, message.body)) {
        return std::nullopt;
      }
      if (!readLine(deadline)) {
        return std::nullopt;
      }
      if (count == 0) {
        return message;
      }
    }
  }
  const std::string length = message.header("content-length");
  if (!length.empty() &&
      !readBytes(std::strtoul(length.c_str(), nullptr, 10), deadline, message.body)) {
    return std::nullopt;
  }
  return message;
}

int listenOn(const Address& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in local = toSockaddr(address);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
      ::listen(descriptor, 512) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

std::optional<Message> call(const Address& address, const std::string& method,
                            const std::string& path, const std::string& body,
                            std::int64_t timeoutMillis) {
  Socket socket = Socket::connectTo(address);
  if (!socket.open()) {
    return std::nullopt;
  }
  const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + address.ip + ":" +
                              std::to_string(address.port) +
                              "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                              "Content-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!socket.write(request)) {
    return std::nullopt;
  }
  return socket.read(timeoutMillis);
}

}  // namespace review
