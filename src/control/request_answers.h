#pragma once
/// @file
/// First answers to operators' writes, for resends of the same request id.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "walnut/control/commands.h"

namespace walnut::control {

/// Stores the first answer to each recent write request. The number of answers is bounded; the
/// oldest are removed first. The store is part of the replicated state, so that a resend also gets
/// the first answer from any later leader.
class RequestAnswers {
 public:
  explicit RequestAnswers(std::size_t keep) : keep_(keep) {}

  struct Answer {
    /// Hash of the request, to detect that its id was reused for another one.
    std::uint64_t fingerprint = 0;
    WriteOutcome outcome;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(fingerprint, outcome);
    }
  };

  /// Stores the answer unless there is one for the id already.
  void remember(const std::string& requestId, Answer answer);
  const Answer* find(const std::string& requestId) const;

  /// An answer with its request id, as stored in a snapshot.
  struct Remembered {
    std::string requestId;
    Answer answer;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(requestId, answer);
    }
  };
  /// @return all answers, oldest first.
  std::vector<Remembered> oldestFirst() const;
  void restore(const std::vector<Remembered>& oldestFirst);

 private:
  std::size_t keep_;
  std::map<std::string, Answer> answers_;
  std::deque<std::string> order_;
};

}  // namespace walnut::control
