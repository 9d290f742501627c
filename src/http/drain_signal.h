#pragma once
/// @file
/// Event that ends the HTTP server's waits for input.

#include <Poco/Timespan.h>

#include <atomic>

namespace walnut::http {

/// Raised once, when the server begins to stop. Thread safe.
class DrainSignal {
 public:
  DrainSignal();
  ~DrainSignal();
  DrainSignal(const DrainSignal&) = delete;
  DrainSignal& operator=(const DrainSignal&) = delete;

  void raise();
  bool raised() const { return raised_; }

  /// Waits for input on the descriptor until the timeout or until the signal is raised.
  /// @return whether there is input; all that had come before the signal was raised is seen.
  bool awaitInput(int descriptor, const Poco::Timespan& timeout) const;

 private:
  /// Readable from `raise` on. Negative if the system has no more descriptors; waits then end at
  /// their timeout.
  const int event_;
  std::atomic<bool> raised_ = false;
};

}  // namespace walnut::http
