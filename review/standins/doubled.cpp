/// @file
/// Case 1: clients send requests that may run once, to a service whose worker is at times full.
/// With trouble, the worker sends a few of its rejections a second time, late.
///
/// Use: doubled RECORD SECONDS TROUBLE CONTROL,... FRONT,... READINESS,... WORKER_IP,... PORT

#include <atomic>
#include <cstdio>
#include <cstdlib>
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

constexpr int kClients = 6;
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
/// The share of its answers that a worker in disruption sends twice.
constexpr double kDoubledShare = 0.03;

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
         R"("kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":300,"priority":2,)"
         R"("service":"desk","maxAttempts":1,"sticky":false,"resumable":false}],)"
         R"("services":[{"name":"desk","healthPath":"/healthz","maxConns":96,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/// What a client was told about one of its attempts; 0 if its connection ended.
struct Told {
  std::mutex mutex;
  std::map<std::string, int> statuses;
};

/// Sends one request after the other on a kept connection. Each attempt has an id of its own.
void runClient(int number, const Address& front, std::int64_t until, Told& told,
               review::Record& record) {
  std::mt19937 random(static_cast<unsigned>(number) + 1);
  std::uniform_int_distribution<int> pause(10, 150);
  review::Socket socket;
  for (int count = 0; review::nowMillis() < until; ++count) {
    if (!socket.open()) {
      socket = review::Socket::connectTo(front);
    }
    char id[32];
    std::snprintf(id, sizeof(id), "%02x%014x", number + 1, count);
    const std::string body = "hold the slot " + std::string(id);
    std::optional<review::Message> answer;
    record.line("client " + std::to_string(number) + ": " + id + " sent");
    if (socket.open() &&
        socket.write("POST /hold/2f HTTP/1.1\r\nHost: desk.example\r\nX-Walnutlead-Attempt-Id: " +
                     std::string(id) + "\r\nX-Walnutlead-Deadline-Ms: 1500\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body)) {
      answer = socket.read(2500);
    }
    const int status = answer ? answer->status() : 0;
    {
      const std::lock_guard lock(told.mutex);
      told.statuses[id] = status;
    }
    record.line("client " + std::to_string(number) + ": " + id + " answered " +
                std::to_string(status));
    if (!answer || answer->header("Connection") == "close") {
      socket.close();
    }
    review::sleepMillis(pause(random));
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 9) {
    return kNotRun;
  }
  review::Record record(argv[1]);
  const int seconds = std::atoi(argv[2]);
  const bool trouble = std::string(argv[3]) != "0";
  std::vector<Address> servers;
  for (const std::string& server : split(argv[4])) {
    servers.push_back(review::parseAddress(server));
  }
  const std::vector<std::string> fronts = split(argv[5]);
  const std::vector<std::string> ips = split(argv[7]);
  const int port = std::atoi(argv[8]);
  if (!review::putConfiguration(servers, configuration(), 15000, record)) {
    return kNotRun;
  }
  std::vector<std::unique_ptr<review::Worker>> workers;
  for (std::size_t index = 0; index < ips.size(); ++index) {
    review::WorkerOptions options;
    options.id = "i-desk-" + std::to_string(index + 1);
    options.service = "desk";
    options.address = {ips[index], port};
    options.doubledShare = trouble && index == 0 ? kDoubledShare : 0;
    workers.push_back(std::make_unique<review::Worker>(options, servers, record));
    if (!workers.back()->start()) {
      return kNotRun;
    }
  }
  for (const std::string& readiness : split(argv[6])) {
    if (!review::waitUntilReady(review::parseAddress(readiness), 15000)) {
      return kNotRun;
    }
  }
  review::sleepMillis(4000);
  Told told;
  const std::int64_t until = review::nowMillis() + seconds * 1000;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      const Address front = review::parseAddress(fronts[number % fronts.size()]);
      runClient(number, front, until, told, record);
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  review::sleepMillis(1500);
  std::map<std::string, int> runs;
  int answers = 0;
  int rejections = 0;
  int doubled = 0;
  for (const auto& worker : workers) {
    for (const auto& [id, count] : worker->runs()) {
      runs[id] += count;
    }
    answers += worker->answers();
    rejections += worker->rejections();
    doubled += worker->doubled();
  }
  int twice = 0;
  int refused = 0;
  int served = 0;
  for (const auto& [id, count] : runs) {
    if (count > 1) {
      ++twice;
      record.line("TWICE: " + id + " ran " + std::to_string(count) + " times");
    }
    const int status = told.statuses[id];
    if (status == 503 || status == 429 || status == 408 || status == 421) {
      ++refused;
      record.line("REFUSED: " + id + " ran, and was answered " + std::to_string(status));
    }
  }
  for (const auto& [id, status] : told.statuses) {
    served += status == 200 ? 1 : 0;
  }
  char summary[256];
  std::snprintf(summary, sizeof(summary),
                "requests %zu, served %d; at workers: answers %d, rejections %d, sent twice %d; "
                "ran twice %d, refused though run %d",
                told.statuses.size(), served, answers, rejections, doubled, twice, refused);
  record.line(summary);
  std::printf("%s\n", summary);
  std::fflush(stdout);
  // The workers' threads end with the process.
  std::_Exit(served < 100 ? kNotRun : twice + refused > 0 ? kBroken : kHeld);
}
