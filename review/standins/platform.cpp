#include "platform.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace review {

namespace {

constexpr std::int64_t kHeartbeatMillis = 1200;
constexpr std::int64_t kCallMillis = 1000;
constexpr std::int64_t kIdleMillis = 60000;

}  // namespace

bool putConfiguration(const std::vector<Address>& servers, const std::string& body,
                      std::int64_t timeoutMillis, Record& record) {
  const std::int64_t deadline = nowMillis() + timeoutMillis;
  for (std::size_t turn = 0; nowMillis() < deadline; ++turn) {
    const auto answer =
        call(servers[turn % servers.size()], "POST", "/v1/Config.Replace", body, kCallMillis);
    if (answer && answer->status() == 200) {
      record.line("operator: configuration acknowledged");
      return true;
    }
    sleepMillis(200);
  }
  record.line("operator: configuration not acknowledged");
  return false;
}

bool waitUntilReady(const Address& readiness, std::int64_t timeoutMillis) {
  const std::int64_t deadline = nowMillis() + timeoutMillis;
  while (nowMillis() < deadline) {
    const auto answer = call(readiness, "GET", "/v1/ready", "", kCallMillis);
    if (answer && answer->status() == 200) {
      return true;
    }
    sleepMillis(100);
  }
  return false;
}

Worker::Worker(WorkerOptions options, std::vector<Address> servers, Record& record)
    : options_(std::move(options)), servers_(std::move(servers)), record_(record) {}

bool Worker::start() {
  startedAt_ = nowMillis();
  listener_ = listenOn(options_.address);
  if (listener_ < 0) {
    return false;
  }
  std::thread([this] { acceptAll(); }).detach();
  std::thread([this] { sendHeartbeats(); }).detach();
  return true;
}

std::map<std::string, int> Worker::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void Worker::sendHeartbeats() {
  std::size_t turn = 0;
  for (int sequence = 1;; ++sequence) {
    const std::string body =
        "{\"service\":\"" + options_.service + "\",\"address\":\"" + options_.address.ip + ":" +
        std::to_string(options_.address.port) + "\",\"zone\":\"" + options_.zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
        ",\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":" + std::to_string(sequence) + "}";
    const auto answer = call(servers_[turn % servers_.size()], "POST",
                             "/v1/Instances.Heartbeat/" + options_.id, body, kCallMillis);
    if (!answer || answer->status() != 200) {
      ++turn;
      sleepMillis(100);
      continue;
    }
    sleepMillis(kHeartbeatMillis);
  }
}

void Worker::acceptAll() {
  while (true) {
    const int descriptor = ::accept(listener_, nullptr, nullptr);
    if (descriptor < 0) {
      continue;
    }
    std::thread([this, descriptor] { serve(Socket(descriptor)); }).detach();
  }
}

Worker::Place Worker::takePlace(const Socket& socket, std::int64_t deadline) {
  std::unique_lock lock(mutex_);
  if (running_ >= options_.slots) {
    if (queued_ >= options_.queue) {
      return Place::none;
    }
    ++queued_;
    while (running_ >= options_.slots && nowMillis() < deadline) {
      placeFree_.wait_for(lock, std::chrono::milliseconds(20));
    }
    --queued_;
    if (running_ >= options_.slots) {
      return Place::none;
    }
  }
  if (socket.peerClosed()) {
    return Place::gone;
  }
  ++running_;
  return Place::taken;
}

void Worker::leavePlace() {
  const std::lock_guard lock(mutex_);
  --running_;
  placeFree_.notify_one();
}

bool Worker::inDisruption() const {
  return options_.doubledShare > 0 &&
         (nowMillis() - startedAt_) % options_.doubledPeriodMillis < options_.doubledMillis;
}

/// Stays within the share of answers that are sent twice, of those given in disruption.
bool Worker::mayDouble() {
  return inDisruption() && doubled_ + 1 <= options_.doubledShare * answersInDisruption_;
}

void Worker::serve(Socket socket) {
  std::string second;  // An answer that is sent once more, in the place of the next one.
  std::string secondOf;
  while (true) {
    const auto request = socket.read(kIdleMillis);
    if (!request) {
      return;
    }
    const std::string attempt = request->header("X-Walnutlead-Attempt-Id");
    const std::string target = request->header("X-Walnutlead-Target-Instance");
    const std::string wait = request->header("X-Walnutlead-Deadline-Ms");
    const std::int64_t deadline =
        nowMillis() + (wait.empty() ? kIdleMillis : std::atoll(wait.c_str()));
    if (!second.empty()) {
      record_.line(options_.id + ": sends the rejection of " + secondOf +
                   " once more, the answer to " + attempt + " is due");
      if (!socket.write(std::exchange(second, {}))) {
        return;
      }
    }
    const Place place =
        target.empty() || target == options_.id ? takePlace(socket, deadline) : Place::none;
    if (place == Place::gone) {
      record_.line(options_.id + ": " + attempt + " not run, its connection was closed");
      return;
    }
    ++answers_;
    answersInDisruption_ += inDisruption() ? 1 : 0;
    if (place == Place::none) {
      ++rejections_;
      const std::string rejection =
          "HTTP/1.1 503 Service Unavailable\r\nX-Walnutlead-Attempt-Id: " + attempt +
          "\r\nX-Walnutlead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
      if (mayDouble()) {
        ++doubled_;
        second = rejection;
        secondOf = attempt;
      }
      record_.line(options_.id + ": " + attempt + " rejected, not run");
      if (!socket.write(rejection)) {
        return;
      }
      continue;
    }
    record_.line(options_.id + ": " + attempt + " runs");
    {
      const std::lock_guard lock(mutex_);
      ++runs_[attempt];
    }
    sleepMillis(options_.workMillis);
    leavePlace();
    const std::string body = "result of " + attempt;
    if (!socket.write("HTTP/1.1 200 OK\r\nX-Walnutlead-Attempt-Id: " + attempt +
                      "\r\nX-Walnutlead-Response-Seal: seal." + attempt +
                      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

}  // namespace review
