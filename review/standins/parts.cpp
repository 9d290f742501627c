/// @file
/// Case 2: one part of a prompt crashes each worker that begins to write an answer on it. Requests
/// with that part come once a second, no two alike, at any gateway, while sound requests share
/// their other parts. The worker writes the first event of its answer and ends; it is back after
/// some seconds, empty.
///
/// Use: parts RECORD TROUBLE CONTROL,... FRONT,... READINESS,... WORKER_IP,... PORT

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "platform.h"
#include "wire.h"

namespace {

using review::Address;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr std::int64_t kContactMillis = 3000;
/// For the way from the gateway: the rule counts when a request was sent.
constexpr std::int64_t kArrivalMillis = 100;
constexpr std::size_t kCrashesUntilKnown = 5;
/// More requests with the part than this, that late, break the rule.
constexpr int kMostLate = 3;
constexpr std::int64_t kDownMillis = 3000;
constexpr std::int64_t kDiskLoadMillis = 900;
constexpr std::int64_t kHeartbeatMillis = 1200;
constexpr std::int64_t kCallMillis = 1000;
constexpr std::int64_t kIdleMillis = 60000;
constexpr int kEvents = 12;
/// Events that a worker has written when it ends; none: it ends after the head of its answer.
const int kEventsUntilCrash = std::getenv("EVENTS") ? std::atoi(std::getenv("EVENTS")) : 1;
constexpr std::int64_t kEventMillis = 40;
constexpr int kSoundClients = 12;
constexpr std::int64_t kCalmMillis = 6000;
constexpr std::int64_t kTroubleMillis = 32000;
constexpr std::string_view kSharedPart = "5c1e07a2:800";
constexpr std::string_view kCrashingPart = "91bd3f06:410";

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::string configuration() {
  return R"({"version":3,"routes":[{"name":"r-draft","host":"desk.example","pathPrefix":"/draft/",)"
         R"("kind":"streaming","timeoutMs":15000,"targetLatencyMs":600,"priority":1,)"
         R"("service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"targetGapMs":300}],)"
         R"("services":[{"name":"llm","healthPath":"/healthz","maxConns":360,"protocol":"h1",)"
         R"("tls":false,"engine":{"slots":64,"kvCapacityTokens":130679,"kvTokenBytes":163840,)"
         R"("models":[{"name":"m1","weightsMb":42700.0,"loadS":2.5,"adapters":0,"adapterMb":66.0,)"
         R"("warmupS":0.5,"diskS":0.9}],"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":2.2}}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

/// What the workers have seen, all together.
struct Seen {
  std::mutex mutex;
  std::vector<std::int64_t> crashes;
  /// When requests with the crashing part came to a worker.
  std::vector<std::int64_t> arrivals;
};

/// A worker of language models that holds one model at first. Serves streams, orders and reports.
class EngineWorker {
 public:
  EngineWorker(int number, Address address, std::vector<Address> servers, Seen& seen,
               const std::atomic<bool>& trouble, review::Record& record)
      : number_(number),
        address_(std::move(address)),
        servers_(std::move(servers)),
        seen_(seen),
        trouble_(trouble),
        record_(record) {}

  bool start() {
    begin();
    if (listener_ < 0) {
      return false;
    }
    holds_ = true;
    std::thread([this] { acceptAll(); }).detach();
    std::thread([this] { sendHeartbeats(); }).detach();
    return true;
  }

 private:
  void begin() {
    const std::lock_guard lock(mutex_);
    listener_ = review::listenOn(address_);
    id_ = "i-llm-" + std::to_string(number_) + "-" + std::to_string(++life_);
    holds_ = false;
    busy_ = false;
    orders_ = 0;
    sequence_ = 0;
    up_ = true;
  }

  /// The process ends: its connections too, and nothing listens until it is back.
  void crash(const std::string& attempt) {
    {
      const std::lock_guard lock(mutex_);
      if (!up_) {
        return;
      }
      up_ = false;
      record_.line(id_ + ": ends under " + attempt);
      ::shutdown(listener_, SHUT_RDWR);
      ::close(listener_);
      for (const int descriptor : open_) {
        ::shutdown(descriptor, SHUT_RDWR);
      }
    }
    {
      const std::lock_guard lock(seen_.mutex);
      seen_.crashes.push_back(review::nowMillis());
    }
    std::thread([this] {
      review::sleepMillis(kDownMillis);
      begin();
      record_.line(id_ + ": is back");
    }).detach();
  }

  std::string modelsText() const {
    return holds_ ? R"([{"name":"m1","version":1,"adapters":[]}])" : "[]";
  }

  std::string availableText() const { return R"({"inMemory":[],"onDisk":["m1"]})"; }

  void sendHeartbeats() {
    std::size_t turn = static_cast<std::size_t>(number_);
    while (true) {
      std::string id;
      std::string body;
      {
        const std::lock_guard lock(mutex_);
        if (up_) {
          id = id_;
          body = R"({"service":"llm","address":")" + address_.ip + ":" +
                 std::to_string(address_.port) +
                 R"(","zone":"zone-a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,)"
                 R"("stage":"colocated","models":)" +
                 modelsText() + R"(,"available":)" + availableText() + R"(,"seq":)" +
                 std::to_string(++sequence_) + "}";
        }
      }
      if (id.empty()) {
        review::sleepMillis(50);
        continue;
      }
      const auto answer = review::call(servers_[turn % servers_.size()], "POST",
                                       "/v1/Instances.Heartbeat/" + id, body, kCallMillis);
      if (!answer || answer->status() != 200) {
        ++turn;
        review::sleepMillis(100);
        continue;
      }
      for (std::int64_t slept = 0; slept < kHeartbeatMillis && isUp(id); slept += 50) {
        review::sleepMillis(50);
      }
    }
  }

  bool isUp(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return up_ && id_ == id;
  }

  void acceptAll() {
    while (true) {
      int listener = -1;
      {
        const std::lock_guard lock(mutex_);
        listener = up_ ? listener_ : -1;
      }
      const int descriptor = listener < 0 ? -1 : ::accept(listener, nullptr, nullptr);
      if (descriptor < 0) {
        review::sleepMillis(10);
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        if (!up_) {
          ::close(descriptor);
          continue;
        }
        open_.insert(descriptor);
      }
      std::thread([this, descriptor] {
        review::Socket socket(descriptor);
        serve(socket);
        const std::lock_guard lock(mutex_);
        open_.erase(descriptor);
        socket.close();
      }).detach();
    }
  }

  static bool answer(review::Socket& socket, const std::string& status, const std::string& body) {
    return socket.write("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  void serve(review::Socket& socket) {
    while (const auto request = socket.read(kIdleMillis)) {
      const std::string& line = request->startLine;
      bool open = false;
      if (request->header("X-Walnutlead-Target-Instance") != currentId()) {
        open = answer(socket, "421 Misdirected Request", "");
      } else if (line.rfind("GET /v1/report", 0) == 0) {
        open = answer(socket, "200 OK", report());
      } else if (line.rfind("POST /v1/order", 0) == 0) {
        open = answer(socket, takeOrder(request->body), "");
      } else {
        open = stream(socket, *request);
      }
      if (!open) {
        return;
      }
    }
  }

  std::string currentId() {
    const std::lock_guard lock(mutex_);
    return id_;
  }

  std::string report() {
    const std::lock_guard lock(mutex_);
    return R"({"stage":"colocated","models":)" + modelsText() + R"(,"available":)" +
           availableText() + R"(,"inFlight":)" + (busy_ ? "true" : "false") + R"(,"seq":)" +
           std::to_string(orders_) +
           R"(,"queued":0,"active":0,"kvUsed":0,"kvTotal":130679,"handles":0})";
  }

  /// @return the status line of the answer.
  std::string takeOrder(const std::string& body) {
    const std::lock_guard lock(mutex_);
    const bool load = body.find("\"loading\"") != std::string::npos;
    const std::size_t mark = body.find("\"expectedRev\":");
    if (mark != std::string::npos && std::atoi(body.c_str() + mark + 14) != orders_) {
      return "409 Conflict";
    }
    if (busy_) {
      return "409 Conflict";
    }
    if (load == holds_) {
      return "200 OK";
    }
    ++orders_;
    busy_ = true;
    if (!load) {
      holds_ = false;
    }
    std::thread([this, load, life = life_] {
      review::sleepMillis(load ? kDiskLoadMillis : 50);
      const std::lock_guard inner(mutex_);
      if (life == life_ && up_) {
        busy_ = false;
        holds_ = load;
      }
    }).detach();
    return "202 Accepted";
  }

  bool stream(review::Socket& socket, const review::Message& request) {
    const std::string attempt = request.header("X-Walnutlead-Attempt-Id");
    const bool crashes =
        request.header("X-Walnutlead-Prompt-Prefix").find(kCrashingPart) != std::string::npos;
    {
      const std::lock_guard lock(mutex_);
      if (!holds_) {
        return answer(socket, "421 Misdirected Request", "");
      }
    }
    if (crashes && trouble_) {
      const std::lock_guard lock(seen_.mutex);
      seen_.arrivals.push_back(review::nowMillis());
    }
    record_.line(currentId() + ": " + attempt + (crashes ? " with the part" : "") + " runs");
    const int after = std::atoi(request.header("Last-Event-Id").c_str());
    if (!socket.write("HTTP/1.1 200 OK\r\nX-Walnutlead-Attempt-Id: " + attempt +
                      "\r\nX-Walnutlead-Response-Seal: seal." + attempt +
                      "\r\nX-Walnutlead-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int event = after + 1; event <= kEvents; ++event) {
      review::sleepMillis(kEventMillis);
      if (crashes && trouble_ && event > after + kEventsUntilCrash) {
        crash(attempt);
        return false;
      }
      const std::string text = "id: " + std::to_string(event) + "\ndata: word\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (!socket.write(size + text + "\r\n")) {
        return false;
      }
    }
    return socket.write("0\r\n\r\n");
  }

  const int number_;
  const Address address_;
  const std::vector<Address> servers_;
  Seen& seen_;
  const std::atomic<bool>& trouble_;
  review::Record& record_;
  std::mutex mutex_;
  int listener_ = -1;
  std::string id_;
  int life_ = 0;
  bool holds_ = false;
  bool busy_ = false;
  int orders_ = 0;
  int sequence_ = 0;
  bool up_ = false;
  std::set<int> open_;
};

/// Sends one stream. @return true if it was answered with success and came whole.
bool sendStream(const Address& front, const std::string& id, const std::string& parts,
                int& status) {
  review::Socket socket = review::Socket::connectTo(front);
  status = 0;
  if (!socket.open() ||
      !socket.write("POST /draft/2f HTTP/1.1\r\nHost: desk.example\r\nX-Walnutlead-Attempt-Id: " +
                    id + "\r\nX-Walnutlead-Model: m1\r\nX-Walnutlead-Token-Count: 1460,80\r\n" +
                    "X-Walnutlead-Prompt-Prefix: " + parts +
                    "\r\nX-Walnutlead-Deadline-Ms: 15000\r\nContent-Length: " +
                    std::to_string(id.size()) + "\r\n\r\n" + id)) {
    return false;
  }
  const auto answer = socket.read(15000);
  status = answer ? answer->status() : 0;
  return status == 200;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 8) {
    return kNotRun;
  }
  review::Record record(argv[1]);
  const bool withTrouble = std::string(argv[2]) != "0";
  std::vector<Address> servers;
  for (const std::string& server : split(argv[3])) {
    servers.push_back(review::parseAddress(server));
  }
  std::vector<Address> fronts;
  for (const std::string& front : split(argv[4])) {
    fronts.push_back(review::parseAddress(front));
  }
  if (!review::putConfiguration(servers, configuration(), 15000, record)) {
    return kNotRun;
  }
  Seen seen;
  std::atomic<bool> trouble{false};
  std::vector<std::unique_ptr<EngineWorker>> workers;
  for (const std::string& ip : split(argv[6])) {
    workers.push_back(std::make_unique<EngineWorker>(static_cast<int>(workers.size()) + 1,
                                                     Address{ip, std::atoi(argv[7])}, servers, seen,
                                                     trouble, record));
    if (!workers.back()->start()) {
      return kNotRun;
    }
  }
  for (const std::string& address : split(argv[5])) {
    if (!review::waitUntilReady(review::parseAddress(address), 15000)) {
      return kNotRun;
    }
  }
  review::sleepMillis(4000);
  const std::int64_t troubleAt = review::nowMillis() + kCalmMillis;
  const std::int64_t until = troubleAt + kTroubleMillis;
  std::atomic<int> soundSent{0};
  std::atomic<int> soundServed{0};
  std::vector<std::thread> clients;
  for (int number = 0; number < kSoundClients; ++number) {
    clients.emplace_back([&, number] {
      std::mt19937 random(static_cast<unsigned>(number) + 1);
      std::uniform_int_distribution<int> pause(200, 800);
      for (int count = 0; review::nowMillis() < until; ++count) {
        char id[32];
        std::snprintf(id, sizeof(id), "a%01x%014x", number, count);
        int status = 0;
        record.line("client " + std::to_string(number) + ": " + id + " sent");
        const bool served = sendStream(fronts[random() % fronts.size()], id,
                                       std::string(kSharedPart) + "," + id + ":250", status);
        record.line("client " + std::to_string(number) + ": " + id + " answered " +
                    std::to_string(status) + (served ? " whole" : ""));
        if (review::nowMillis() > troubleAt) {
          ++soundSent;
          soundServed += served ? 1 : 0;
        }
        review::sleepMillis(pause(random));
      }
    });
  }
  review::sleepMillis(kCalmMillis);
  trouble = withTrouble;
  record.line(withTrouble ? "the part crashes workers from now on" : "the part is sound");
  std::atomic<int> told{0};
  for (int count = 0; review::nowMillis() < until; ++count) {
    clients.emplace_back([&, count] {
      char id[32];
      std::snprintf(id, sizeof(id), "c0%014x", count);
      int status = 0;
      const std::string parts =
          std::string(kSharedPart) + "," + std::string(kCrashingPart) + "," + id + ":250";
      record.line("client with the part: " + std::string(id) + " sent");
      const bool served =
          sendStream(fronts[static_cast<std::size_t>(count) % fronts.size()], id, parts, status);
      told += status == 503 ? 1 : 0;
      record.line("client with the part: " + std::string(id) + " answered " +
                  std::to_string(status) + (served ? " whole" : ""));
    });
    review::sleepMillis(1000);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::lock_guard lock(seen.mutex);
  int late = 0;
  if (seen.crashes.size() >= kCrashesUntilKnown) {
    const std::int64_t from =
        seen.crashes[kCrashesUntilKnown - 1] + kContactMillis + kArrivalMillis;
    late = static_cast<int>(std::count_if(seen.arrivals.begin(), seen.arrivals.end(),
                                          [from](std::int64_t at) { return at > from; }));
  }
  char summary[256];
  std::snprintf(summary, sizeof(summary),
                "%zu crashes; with the part %zu arrivals at workers, %d later than 3 s after the "
                "fifth crash, %d refused; sound streams served %d of %d",
                seen.crashes.size(), seen.arrivals.size(), late, told.load(), soundServed.load(),
                soundSent.load());
  record.line(summary);
  std::printf("%s\n", summary);
  std::fflush(stdout);
  // The threads of the workers end with the process.
  std::_Exit(soundSent < 50 ? kNotRun : late > kMostLate ? kBroken : kHeld);
}
