#include "control/request_answers.h"

#include <utility>

namespace walnut::control {

void RequestAnswers::remember(const std::string& requestId, Answer answer) {
  if (!answers_.emplace(requestId, std::move(answer)).second) {
    return;
  }
  order_.push_back(requestId);
  while (order_.size() > keep_) {
    answers_.erase(order_.front());
    order_.pop_front();
  }
}

const RequestAnswers::Answer* RequestAnswers::find(const std::string& requestId) const {
  const auto found = answers_.find(requestId);
  return found == answers_.end() ? nullptr : &found->second;
}

std::vector<RequestAnswers::Remembered> RequestAnswers::oldestFirst() const {
  std::vector<Remembered> remembered;
  remembered.reserve(order_.size());
  for (const std::string& requestId : order_) {
    remembered.push_back({requestId, answers_.at(requestId)});
  }
  return remembered;
}

void RequestAnswers::restore(const std::vector<Remembered>& oldestFirst) {
  answers_.clear();
  order_.clear();
  for (const Remembered& remembered : oldestFirst) {
    remember(remembered.requestId, remembered.answer);
  }
}

}  // namespace walnut::control
