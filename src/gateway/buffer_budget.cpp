#include "gateway/buffer_budget.h"

#include <algorithm>
#include <utility>

namespace walnut::gateway {

BufferBudget::Share& BufferBudget::Share::operator=(Share&& other) noexcept {
  if (this != &other) {
    clear();
    budget_ = std::exchange(other.budget_, nullptr);
    use_ = other.use_;
    count_ = std::exchange(other.count_, {});
  }
  return *this;
}

void BufferBudget::Share::set(const net::ByteCount& count) {
  if (budget_ != nullptr && count != count_) {
    const net::ByteCount before = std::exchange(count_, count);
    if (use_ == Use::answers) {
      budget_->answers_ = budget_->answers_ - before.committed + count.committed;
    }
    budget_->countChanged(before, count);
  }
}

void BufferBudget::Share::clear() {
  if (std::exchange(isWaiting_, false)) {
    budget_->waiting_.remove_if([this](const Waiting& waiting) { return waiting.share == this; });
  }
  set({});
}

bool BufferBudget::Share::requestRoom(std::size_t committed, std::function<void()> ready) {
  if (budget_->waiting_.empty() && budget_->giveRoom(*this, committed)) {
    return true;
  }
  isWaiting_ = true;
  budget_->waiting_.push_back({this, committed, std::move(ready)});
  return false;
}

void BufferBudget::countChanged(const net::ByteCount& before, const net::ByteCount& after) {
  held_ = held_ - before.held + after.held;
  committed_ = committed_ - before.committed + after.committed;
  peakCommitted_ = std::max(peakCommitted_, committed_);
  if (after.committed < before.committed && !waiting_.empty() && onRoom_) {
    onRoom_();
  }
}

std::size_t BufferBudget::streamBound(std::size_t usual) const {
  const std::size_t half = limit_ / 2;
  if (committed_ <= half) {
    return usual;
  }
  const std::size_t left = limit_ - std::min(limit_, committed_);
  return static_cast<std::size_t>(static_cast<double>(usual) * static_cast<double>(left) /
                                  static_cast<double>(limit_ - half));
}

bool BufferBudget::giveRoom(Share& share, std::size_t committed) {
  const std::size_t present = share.count_.committed;
  const std::size_t more = committed - std::min(present, committed);
  const bool isAnswer = share.use_ == Use::answers;
  if (more > 0 && (!fits(more) || (isAnswer && answers_ + more > answersLimit()))) {
    return false;
  }
  share.set({share.count_.held, std::max(present, committed)});
  return true;
}

void BufferBudget::serveWaiting() {
  while (!waiting_.empty() && giveRoom(*waiting_.front().share, waiting_.front().committed)) {
    const Waiting served = std::move(waiting_.front());
    waiting_.pop_front();
    served.share->isWaiting_ = false;
    served.ready();
  }
}

}  // namespace walnut::gateway
