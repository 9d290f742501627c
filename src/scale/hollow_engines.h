#pragma once
/// @file
/// Many engines and the platform list in one process: real HTTP on a port each, one thread.

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "scale/synthetic_cell.h"
#include "walnut/engine/messages.h"

namespace walnut::scale {

struct HollowEnginesOptions {
  std::size_t engines = 0;
  std::uint16_t platformPort = 0;  ///< 0: picked by the kernel.
  base::Duration firstToken = std::chrono::milliseconds(560);
  base::Duration tokenInterval = std::chrono::milliseconds(46);
};

/// Counted since the start.
struct HollowEngineCounters {
  std::uint64_t reports = 0;
  std::uint64_t orders = 0;
  std::uint64_t streams = 0;
  std::uint64_t tokens = 0;
  std::uint64_t connections = 0;
  double processorSeconds = 0;  ///< Of the serving thread.
};

/// Serves the engines' published protocol. An ordered load is ready at once; the fence is kept. A
/// generation is a stream with a token each interval, whatever the number of streams.
class HollowEngines {
 public:
  /// Throws Poco::Exception if it can't listen.
  explicit HollowEngines(const HollowEnginesOptions& options);
  ~HollowEngines();
  HollowEngines(const HollowEngines&) = delete;
  HollowEngines& operator=(const HollowEngines&) = delete;

  /// Lists the first engines only; the others answer all the same. Any thread.
  void setListed(std::size_t engines) { listed_ = engines; }
  /// The engines hold what the state of that size says. Any thread.
  void holdReplicas(const CellSize& size);
  std::uint16_t platformPort() const { return platformPort_; }
  std::vector<base::Endpoint> endpoints() const;
  HollowEngineCounters counters() const;

 private:
  struct Engine;
  struct Connection;
  struct Stream;

  std::uint16_t listen(std::uint16_t port, std::size_t engine);
  void run();
  void pollOnce();
  void accept(Poco::Net::ServerSocket& listener, std::size_t engine);
  void serve(const Poco::Net::Socket& socket);
  bool handleRequest(Connection& connection);
  std::string answerTo(std::size_t engine, const std::string& path, const std::string& body);
  std::string report(std::size_t engine, const std::string& body);
  std::string order(std::size_t engine, const std::string& body);
  std::string platformList() const;
  void beginStream(std::unique_ptr<Connection> connection, const std::string& body);
  void continueStreams();
  int pollMillis() const;

  const HollowEnginesOptions options_;
  std::atomic<std::size_t> listed_ = 0;
  std::atomic<bool> stopping_ = false;
  std::uint16_t platformPort_ = 0;

  std::mutex mutex_;  ///< Of what engines hold.
  std::vector<std::unique_ptr<Engine>> engines_;

  // Of the thread.
  Poco::Net::PollSet pollSet_;
  std::map<Poco::Net::Socket, std::size_t>
      listeners_;  ///< To the engine; the last is the platform.
  std::map<Poco::Net::Socket, std::unique_ptr<Connection>> connections_;
  std::multimap<base::TimePoint, std::unique_ptr<Stream>> streams_;

  std::atomic<std::uint64_t> reports_ = 0;
  std::atomic<std::uint64_t> orders_ = 0;
  std::atomic<std::uint64_t> streamsBegun_ = 0;
  std::atomic<std::uint64_t> tokens_ = 0;
  std::atomic<std::uint64_t> connectionsMade_ = 0;
  std::atomic<double> processorSeconds_ = 0;
  std::thread thread_;
};

}  // namespace walnut::scale
