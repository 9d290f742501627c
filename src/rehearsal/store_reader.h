#pragma once
/// @file
/// Reads checkpoints from the weight store by HTTP, for a stand-in engine.

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

#include "http/event_queue.h"
#include "walnut/base/ids.h"
#include "walnut/standin/engine.h"

namespace walnut::rehearsal {

/// A fixed number of threads, each of which makes one read at a time.
class StoreReader {
 public:
  /// Called on a thread of the reader when a read has ended, well or not.
  using Done = std::function<void(const standin::StoreRead&)>;

  StoreReader(base::Endpoint store, Done done);
  /// Waits for reads that have begun; the store breaks them off when it stops.
  ~StoreReader();

  void read(standin::ReadFromStore request) { requests_.push(std::move(request)); }

 private:
  void loop();
  bool readOne(const standin::ReadFromStore& request) const;

  base::Endpoint store_;
  Done done_;
  http::EventQueue<standin::ReadFromStore> requests_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace walnut::rehearsal
