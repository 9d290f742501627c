#include "rehearsal/store_reader.h"

#include <Poco/URI.h>

#include <utility>

#include "rehearsal/http_client.h"

namespace walnut::rehearsal {

namespace {

/// More than the loads that an engine of two accelerators begins at once.
constexpr std::size_t kThreads = 8;
constexpr base::Duration kPollInterval = std::chrono::milliseconds(100);
/// A slowed store takes minutes.
constexpr base::Duration kReadTimeout = std::chrono::minutes(30);

}  // namespace

StoreReader::StoreReader(base::Endpoint store, Done done)
    : store_(std::move(store)), done_(std::move(done)) {
  for (std::size_t index = 0; index < kThreads; ++index) {
    threads_.emplace_back([this] { loop(); });
  }
}

StoreReader::~StoreReader() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void StoreReader::loop() {
  while (!stopping_) {
    if (const auto request = requests_.popFor(kPollInterval)) {
      const bool ok = readOne(*request);
      done_(standin::StoreRead{request->checkpoint, ok});
    }
  }
}

bool StoreReader::readOne(const standin::ReadFromStore& request) const {
  HttpCall call;
  call.server = store_;
  std::string name;
  Poco::URI::encode(request.checkpoint, "?#&%", name);
  call.path = "/v1/checkpoints/" + name + "?bytes=" + std::to_string(request.bytes);
  call.timeout = kReadTimeout;
  const auto reply = httpCall(call);
  return reply.has_value() && reply.value().status == 200;
}

}  // namespace walnut::rehearsal
