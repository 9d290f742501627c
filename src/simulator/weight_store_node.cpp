#include "simulator/weight_store_node.h"

#include <utility>

namespace walnut::simulator {

WeightStoreNode::WeightStoreNode(Environment& environment, const std::string& zone,
                                 const standin::WeightStoreOptions& options)
    : Process(environment.network, "store", zone), store_(options) {}

standin::ReadId WeightStoreNode::read(const std::string& checkpoint, std::uint64_t bytes,
                                      Done done) {
  const standin::ReadId id = nextRead_++;
  reads_[id] = std::move(done);
  store_.read(scheduler().now(), id, checkpoint, bytes);
  settle();
  return id;
}

void WeightStoreNode::abandon(standin::ReadId id) {
  if (reads_.erase(id) > 0) {
    store_.abandon(scheduler().now(), id);
    settle();
  }
}

void WeightStoreNode::setSlowdown(double factor) {
  store_.setSlowdown(scheduler().now(), factor);
  settle();
}

void WeightStoreNode::settle() {
  for (const standin::FinishedRead& finished : store_.advance(scheduler().now())) {
    const auto found = reads_.find(finished.id);
    if (found == reads_.end()) {
      continue;
    }
    const Done done = std::move(found->second);
    reads_.erase(found);
    done(finished.ok);
  }
  scheduleWakeup(store_.nextWakeup(), [this] { settle(); });
}

}  // namespace walnut::simulator
