#pragma once
/// @file
/// Stand-ins of the users' platform: an operator and a plain worker, as their pages describe them.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wire.h"

namespace review {

/// Sends one configuration until it is acknowledged, to each server in turn.
bool putConfiguration(const std::vector<Address>& servers, const std::string& body,
                      std::int64_t timeoutMillis, Record& record);

/// @return true once the gateway calls itself ready.
bool waitUntilReady(const Address& readiness, std::int64_t timeoutMillis);

struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone = "zone-a";
  Address address;
  int slots = 2;
  int queue = 2;
  std::int64_t workMillis = 60;
  /// Of its answers, the share of which one is sent a second time: late, in the place where the
  /// next answer on the connection is due. Such an answer is always the rejection of a request.
  double doubledShare = 0;
  /// The worker is in disruption for the first part of each period, and answers soundly in the
  /// rest.
  std::int64_t doubledMillis = 5000;
  std::int64_t doubledPeriodMillis = 10000;
};

/// A worker of a plain service. It runs `slots` requests at once, queues a few more, and rejects
/// the others as not run. It registers and sends heartbeats until the process ends.
class Worker {
 public:
  Worker(WorkerOptions options, std::vector<Address> servers, Record& record);
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  bool start();
  /// @return how often each request has run, by its attempt id.
  std::map<std::string, int> runs();
  int answers() const { return answers_; }
  int rejections() const { return rejections_; }
  int doubled() const { return doubled_; }

 private:
  void acceptAll();
  void serve(Socket socket);
  /// @return true once a slot is taken; false if there is no place, or the caller has gone.
  enum class Place { taken, none, gone };
  Place takePlace(const Socket& socket, std::int64_t deadline);
  void leavePlace();
  bool inDisruption() const;
  bool mayDouble();
  void sendHeartbeats();

  const WorkerOptions options_;
  const std::vector<Address> servers_;
  Record& record_;
  int listener_ = -1;
  std::atomic<int> answers_{0};
  std::atomic<int> rejections_{0};
  std::atomic<int> doubled_{0};
  std::atomic<int> answersInDisruption_{0};
  std::int64_t startedAt_ = 0;
  std::mutex mutex_;
  std::condition_variable placeFree_;
  int running_ = 0;
  int queued_ = 0;
  std::map<std::string, int> runs_;
};

}  // namespace review
