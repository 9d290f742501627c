#include "daemon/call_queue.h"

#include <iterator>
#include <utility>

namespace walnut::daemon {

void CallQueue::add(net::HttpRequest request, net::ResponseSink& sink) {
  waiting_.push_back({std::move(request), &sink, clock_()});
  const auto entry = std::prev(waiting_.end());
  sink.setGoneCallback([this, entry] { waiting_.erase(entry); });
}

bool CallQueue::serve() {
  const base::TimePoint begin = clock_();
  base::TimePoint now = begin;
  while (!waiting_.empty() && now < begin + kSlice) {
    Waiting call = std::move(waiting_.front());
    waiting_.pop_front();
    call.sink->setGoneCallback(nullptr);
    const Handler& serve = now < call.arrivedAt + kPatience ? handle_ : giveUp_;
    serve(std::move(call.request), *call.sink);
    now = clock_();
  }
  return !waiting_.empty();
}

}  // namespace walnut::daemon
