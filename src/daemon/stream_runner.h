#pragma once
/// @file
/// The attempts of a router, a thread each.

#include <map>
#include <memory>
#include <mutex>

#include "daemon/generate_stream.h"
#include "daemon/task_threads.h"

namespace walnut::daemon {

struct StreamRunnerOptions {
  GenerateStreamOptions stream;
  std::size_t maxStreams = 4096;  ///< At once, a thread each.
};

/// Starts and cancels attempts. All methods may be called from any thread; none blocks.
class StreamRunner {
 public:
  /// @param sink takes the events of all attempts, on their threads.
  StreamRunner(const StreamRunnerOptions& options, GenerateSink sink);
  /// Cancels what runs and waits for its threads.
  ~StreamRunner();
  StreamRunner(const StreamRunner&) = delete;
  StreamRunner& operator=(const StreamRunner&) = delete;

  /// Runs an attempt. If no thread is left it fails as not started.
  void start(const base::Endpoint& endpoint, const engine::GenerateRequest& request);

  /// Closes the attempt's connection; its events cease.
  void cancel(base::AttemptId attempt);

 private:
  void finished(base::AttemptId attempt);

  const StreamRunnerOptions options_;
  const GenerateSink sink_;
  std::mutex mutex_;
  std::map<base::AttemptId, std::shared_ptr<GenerateStream>> streams_;
  TaskThreads threads_;
};

}  // namespace walnut::daemon
