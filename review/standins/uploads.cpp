/// @file
/// Case 3: the clients of a region send long bodies at the pace of a phone, while other clients use
/// the same service on kept connections. With trouble, the platform hands the connections of the
/// long bodies to one gateway; without, to each gateway in turn. The stand-in of the platform ends
/// a gateway that goes over the memory of its machine.
///
/// Use: uploads RECORD TROUBLE CONTROL,... FRONT,... READINESS,... GATEWAY_PID,... WORKER_IP PORT

#include <signal.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <random>
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
/// Clients of the region of a small deployment: 19 + 19 + 18 + 17 in its four zones.
constexpr int kUploads = 73;
constexpr int kOthers = 8;
/// `maxBodyBytes` of the configuration.
constexpr std::size_t kLongBody = 4194304;
constexpr std::int64_t kUploadMillis = 10000;
constexpr std::size_t kPieceBytes = 32768;
/// `memoryMb` of the machine.
constexpr long kMemoryMegabytes = 260;
/// More requests than this, cut without an answer, break the rule.
constexpr int kMostCut = 3;

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::string configuration() {
  return R"({"version":3,"routes":[{"name":"r-hold","host":"desk.example","pathPrefix":"/hold/",)"
         R"("kind":"non_idempotent","timeoutMs":15000,"targetLatencyMs":300,"priority":2,)"
         R"("service":"desk","maxAttempts":1,"sticky":false,"resumable":false}],)"
         R"("services":[{"name":"desk","healthPath":"/healthz","maxConns":96,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string headOf(const std::string& id, std::size_t bodyBytes) {
  return "POST /hold/2f HTTP/1.1\r\nHost: desk.example\r\nX-Walnutlead-Attempt-Id: " + id +
         "\r\nX-Walnutlead-Deadline-Ms: 15000\r\nContent-Length: " + std::to_string(bodyBytes) +
         "\r\n\r\n";
}

/// Sends one long body at an even pace, on a connection of its own.
void upload(int number, const Address& front, review::Record& record) {
  char id[32];
  std::snprintf(id, sizeof(id), "a0%014x", number);
  review::Socket socket = review::Socket::connectTo(front);
  record.line("upload " + std::string(id) + ": begins at " + front.ip);
  if (!socket.open() || !socket.write(headOf(id, kLongBody))) {
    record.line("upload " + std::string(id) + ": no connection");
    return;
  }
  const std::string piece(kPieceBytes, 'x');
  const std::int64_t start = review::nowMillis();
  for (std::size_t sent = 0; sent < kLongBody; sent += kPieceBytes) {
    if (!socket.write(piece)) {
      record.line("upload " + std::string(id) + ": cut after " + std::to_string(sent) + " bytes");
      return;
    }
    const auto due = static_cast<std::int64_t>(sent + kPieceBytes) * kUploadMillis /
                     static_cast<std::int64_t>(kLongBody);
    review::sleepMillis(std::max<std::int64_t>(0, start + due - review::nowMillis()));
  }
  const auto answer = socket.read(16000);
  record.line("upload " + std::string(id) + ": answered " +
              std::to_string(answer ? answer->status() : 0));
}

/// What became of the requests of the other clients.
struct Others {
  std::mutex mutex;
  std::vector<std::string> cut;  ///< On a kept connection that ended without an answer.
  int served = 0;
};

void runOther(int number, const Address& front, std::int64_t until, Others& others,
              review::Record& record) {
  review::Socket socket;
  bool kept = false;
  for (int count = 0; review::nowMillis() < until; ++count) {
    if (!socket.open()) {
      socket = review::Socket::connectTo(front);
      kept = false;
    }
    char id[32];
    std::snprintf(id, sizeof(id), "b%01x%014x", number, count);
    const std::string body = "hold the slot " + std::string(id);
    std::optional<review::Message> answer;
    bool sent = false;
    record.line("client " + std::to_string(number) + ": " + id + " sent");
    if (socket.open()) {
      sent = socket.write(headOf(id, body.size()) + body);
      answer = sent ? socket.read(16000) : std::nullopt;
    }
    record.line("client " + std::to_string(number) + ": " + id + " answered " +
                std::to_string(answer ? answer->status() : 0));
    {
      const std::lock_guard lock(others.mutex);
      others.served += answer && answer->status() == 200 ? 1 : 0;
      if (sent && kept && !answer) {
        others.cut.emplace_back(id);
      }
    }
    kept = answer.has_value();
    if (!answer || answer->header("Connection") == "close") {
      socket.close();
      review::sleepMillis(50);
    }
    review::sleepMillis(5);
  }
}

long residentMegabytes(int pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atol(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

/// The platform: a process that goes over the memory of its machine is killed.
void watchMemory(const std::vector<int>& pids, std::vector<long>& peaks, std::atomic<int>& killed,
                 review::Record& record) {
  std::vector<bool> gone(pids.size(), false);
  while (true) {
    for (std::size_t index = 0; index < pids.size(); ++index) {
      const long resident = gone[index] ? 0 : residentMegabytes(pids[index]);
      peaks[index] = std::max(peaks[index], resident);
      if (resident > kMemoryMegabytes) {
        ::kill(pids[index], SIGKILL);
        gone[index] = true;
        ++killed;
        record.line("platform: gateway " + std::to_string(index + 1) + " holds " +
                    std::to_string(resident) + " MB of " + std::to_string(kMemoryMegabytes) +
                    ", killed");
      }
    }
    review::sleepMillis(10);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 9) {
    return kNotRun;
  }
  review::Record record(argv[1]);
  const bool trouble = std::string(argv[2]) != "0";
  std::vector<Address> servers;
  for (const std::string& server : split(argv[3])) {
    servers.push_back(review::parseAddress(server));
  }
  const std::vector<std::string> fronts = split(argv[4]);
  std::vector<int> pids;
  for (const std::string& pid : split(argv[6])) {
    pids.push_back(std::atoi(pid.c_str()));
  }
  if (!review::putConfiguration(servers, configuration(), 15000, record)) {
    return kNotRun;
  }
  review::WorkerOptions options;
  options.id = "i-desk-1";
  options.service = "desk";
  options.address = {argv[7], std::atoi(argv[8])};
  options.slots = 6;
  options.queue = 80;
  review::Worker worker(options, servers, record);
  if (!worker.start()) {
    return kNotRun;
  }
  for (const std::string& readiness : split(argv[5])) {
    if (!review::waitUntilReady(review::parseAddress(readiness), 15000)) {
      return kNotRun;
    }
  }
  review::sleepMillis(4000);
  std::vector<long> peaks(pids.size(), 0);
  std::atomic<int> killed{0};
  std::thread([&] { watchMemory(pids, peaks, killed, record); }).detach();
  Others others;
  const std::int64_t until = review::nowMillis() + 20000;
  std::vector<std::thread> clients;
  for (int number = 0; number < kOthers; ++number) {
    clients.emplace_back(
        [&, number] { runOther(number, review::parseAddress(fronts[0]), until, others, record); });
  }
  review::sleepMillis(3000);
  for (int number = 0; number < kUploads; ++number) {
    const std::string front = fronts[trouble ? 0 : number % fronts.size()];
    clients.emplace_back(
        [&, number, front] { upload(number, review::parseAddress(front), record); });
    review::sleepMillis(10);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  std::map<std::string, int> runs = worker.runs();
  int lost = 0;
  for (const std::string& id : others.cut) {
    if (runs.count(id) != 0) {
      ++lost;
      record.line("LOST: " + id + " was passed on, and its connection ended without an answer");
    }
  }
  std::string memory;
  for (const long peak : peaks) {
    memory += (memory.empty() ? "" : ", ") + std::to_string(peak);
  }
  const std::string summary = "served " + std::to_string(others.served) +
                              " requests of others; gateways killed " + std::to_string(killed) +
                              ", peak MB " + memory + "; passed on and cut " + std::to_string(lost);
  record.line(summary);
  std::printf("%s\n", summary.c_str());
  std::fflush(stdout);
  // The threads of worker and platform end with the process.
  std::_Exit(others.served < 100 ? kNotRun : lost > kMostCut ? kBroken : kHeld);
}
