#include "daemon/stream_runner.h"

#include <utility>

namespace walnut::daemon {

namespace {

/// Nothing on an attempt's thread recurses deeply; JSON nesting is bounded.
constexpr std::size_t kStackBytes = 256U << 10U;

}  // namespace

StreamRunner::StreamRunner(const StreamRunnerOptions& options, GenerateSink sink)
    : options_(options), sink_(std::move(sink)), threads_(options.maxStreams, kStackBytes) {}

StreamRunner::~StreamRunner() {
  const std::lock_guard lock(mutex_);
  for (const auto& [attempt, stream] : streams_) {
    stream->cancel();
  }
}

void StreamRunner::start(const base::Endpoint& endpoint, const engine::GenerateRequest& request) {
  const auto stream = std::make_shared<GenerateStream>(endpoint, request, options_.stream);
  {
    const std::lock_guard lock(mutex_);
    streams_[request.attempt] = stream;
  }
  const bool begun = threads_.run([this, stream] {
    stream->run(sink_);
    finished(stream->attempt());
  });
  if (!begun) {
    finished(request.attempt);
    const base::Error error{base::ErrorCode::engineOverloaded, "attempts", "no thread is left"};
    sink_(engine::GenerateFailed{request.request, request.attempt, error,
                                 engine::GenerateFailed::Started::no});
  }
}

void StreamRunner::cancel(base::AttemptId attempt) {
  const std::lock_guard lock(mutex_);
  const auto found = streams_.find(attempt);
  if (found != streams_.end()) {
    found->second->cancel();
  }
}

void StreamRunner::finished(base::AttemptId attempt) {
  const std::lock_guard lock(mutex_);
  streams_.erase(attempt);
}

}  // namespace walnut::daemon
