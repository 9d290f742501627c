#pragma once
/// @file
/// The data path through one real router: streams from hollow engines to callers.

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

#include "scale/fleet_sampler.h"
#include "scale/hollow_engines.h"

namespace walnut::scale {

struct DataPathOptions {
  Fleet fleet;  ///< One router, and the controllers beside it.
  std::uint16_t platformPort = 0;
  std::size_t engines = 4;
  std::size_t models = 4;
  std::uint32_t tokens = 205;  ///< Of an answer.
  std::vector<double> sweep;   ///< Streams open at once.
  base::Duration measured = std::chrono::seconds(15);
  base::Duration settle = std::chrono::seconds(12);
};

/// Callers that each keep one stream open, a thread each.
class HollowCallers {
 public:
  HollowCallers(const base::Endpoint& router, const DataPathOptions& options)
      : router_(router), options_(options) {}
  ~HollowCallers();
  HollowCallers(const HollowCallers&) = delete;
  HollowCallers& operator=(const HollowCallers&) = delete;

  /// Starts callers until there are so many; their starts are spread over an answer's time.
  void grow(std::size_t callers);
  std::uint64_t answers() const { return answers_; }
  std::uint64_t failures() const { return failures_; }
  std::uint64_t bytes() const { return bytes_; }
  /// @return the times from sending a request to the first event, in ms, and forgets them.
  std::vector<double> takeFirstEvents();

 private:
  void call(std::size_t caller);
  bool callOnce(std::size_t caller);

  const base::Endpoint router_;
  const DataPathOptions options_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::uint64_t> answers_ = 0;
  std::atomic<std::uint64_t> failures_ = 0;
  std::atomic<std::uint64_t> bytes_ = 0;
  std::mutex mutex_;
  std::vector<double> firstEvents_;
  std::vector<std::thread> threads_;
};

/// Declares models, and measures the router over the streams that are open at once.
base::Result<std::vector<Series>> measureDataPath(const DataPathOptions& options);

}  // namespace walnut::scale
