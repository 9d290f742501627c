/// @file
/// Point 4: a caller gets the whole answer to its own request; and the part of point 9 that callers
/// see: no answer by a version that was replaced longer than the bound before the request.

#include <algorithm>
#include <map>
#include <set>

#include "simulator/oracle.h"
#include "walnut/standin/engine.h"

namespace walnut::simulator {

namespace {

/// A version that a model was set to serve, and from when to when that may have been in force.
struct ActivePeriod {
  std::string requestId;
  std::string version;  ///< Empty: not served, or deleted.
  base::TimePoint replacedAt = base::kNever;
  resource::Version writtenAs = 0;  ///< 0: not acknowledged.
};

struct PendingAnswer {
  RequestIssued issued;
  base::TimePoint issuedAt;
  std::uint32_t received = 0;
  std::vector<resource::Servable> candidates;  ///< What the tokens so far may come from.
  bool candidatesKnown = false;
  bool ended = false;
};

class AnswerChecker : public Checker {
 public:
  AnswerChecker(ViolationLog& log, const OracleBounds& bounds) : log_(log), bounds_(bounds) {}

  void observe(base::TimePoint at, const HistoryEvent& event) override {
    if (const auto* sent = std::get_if<WriteSent>(&event)) {
      noteSent(*sent);
    } else if (const auto* acknowledged = std::get_if<WriteAcknowledged>(&event)) {
      noteAcknowledged(at, *acknowledged);
    } else if (const auto* refused = std::get_if<WriteRefused>(&event)) {
      noteRefused(*refused);
    } else if (const auto* issued = std::get_if<RequestIssued>(&event)) {
      PendingAnswer& answer = answers_[issued->request];
      answer.issued = *issued;
      answer.issuedAt = at;
    } else if (const auto* token = std::get_if<TokenReceived>(&event)) {
      noteToken(at, *token);
    } else if (const auto* ended = std::get_if<AnswerEnded>(&event)) {
      noteEnded(at, *ended);
    } else if (const auto* refusal = std::get_if<RequestRefused>(&event)) {
      answers_[refusal->request].ended = true;
    }
  }

 private:
  void noteSent(const WriteSent& sent) {
    if (sent.key.kind == resource::Kind::adapter && sent.spec) {
      adapterModels_[sent.key.name] = std::get<resource::AdapterSpec>(*sent.spec).model;
    }
    if (sent.key.kind != resource::Kind::model || !requestsSeen_.insert(sent.requestId).second) {
      return;
    }
    ActivePeriod period;
    period.requestId = sent.requestId;
    if (sent.spec) {
      period.version = std::get<resource::ModelSpec>(*sent.spec).activeVersion;
    }
    periods_[sent.key.name].push_back(period);
  }

  void noteAcknowledged(base::TimePoint at, const WriteAcknowledged& acknowledged) {
    for (auto& [model, periods] : periods_) {
      const auto found = std::find_if(periods.begin(), periods.end(), [&](const auto& period) {
        return period.requestId == acknowledged.requestId;
      });
      if (found == periods.end()) {
        continue;
      }
      found->writtenAs = acknowledged.version;
      for (ActivePeriod& period : periods) {
        const bool older = period.writtenAs != 0 && period.writtenAs < acknowledged.version;
        if (older && period.replacedAt == base::kNever) {
          period.replacedAt = at;
        }
      }
      return;
    }
  }

  void noteRefused(const WriteRefused& refused) {
    for (auto& [model, periods] : periods_) {
      std::erase_if(periods,
                    [&](const auto& period) { return period.requestId == refused.requestId; });
    }
  }

  std::string modelOf(const std::string& target) const {
    const auto adapter = adapterModels_.find(target);
    return adapter == adapterModels_.end() ? target : adapter->second;
  }

  /// @return every servable that the target has ever stood for.
  std::vector<resource::Servable> servablesOf(const std::string& target) const {
    std::set<resource::Servable> servables;
    const std::string model = modelOf(target);
    const auto periods = periods_.find(model);
    if (periods != periods_.end()) {
      for (const ActivePeriod& period : periods->second) {
        if (!period.version.empty()) {
          servables.insert({model, period.version, model == target ? "" : target});
        }
      }
    }
    return {servables.begin(), servables.end()};
  }

  bool inForceSince(const resource::Servable& servable, base::TimePoint since) const {
    const auto periods = periods_.find(servable.model);
    return periods != periods_.end() &&
           std::any_of(periods->second.begin(), periods->second.end(), [&](const auto& period) {
             const bool over = period.replacedAt != base::kNever &&
                               period.replacedAt + bounds_.acceptedToInForce < since;
             return period.version == servable.version && !over;
           });
  }

  void noteToken(base::TimePoint at, const TokenReceived& token) {
    PendingAnswer& answer = answers_[token.request];
    if (answer.ended) {
      log_.add(at, Point::wholeAnswer, "token after the end of " + token.request.value);
      return;
    }
    if (token.offset != answer.received) {
      log_.add(at, Point::wholeAnswer, "gap in the answer to " + token.request.value);
    }
    ++answer.received;
    if (!answer.candidatesKnown) {
      answer.candidates = servablesOf(answer.issued.target);
      answer.candidatesKnown = true;
    }
    std::erase_if(answer.candidates, [&](const resource::Servable& servable) {
      return standin::expectedToken(servable, answer.issued.prompt, token.offset) != token.text;
    });
    if (answer.candidates.empty()) {
      log_.add(at, Point::wholeAnswer,
               "foreign token in the answer to " + token.request.value + " (" +
                   answer.issued.target + ") at offset " + std::to_string(token.offset));
    }
  }

  void noteEnded(base::TimePoint at, const AnswerEnded& ended) {
    PendingAnswer& answer = answers_[ended.request];
    if (answer.ended) {
      return;  // Point 3 reports it.
    }
    answer.ended = true;
    if (!answer.candidatesKnown) {
      answer.candidates = servablesOf(answer.issued.target);
    }
    const bool hadCandidates = !answer.candidates.empty();
    std::erase_if(answer.candidates, [&](const resource::Servable& servable) {
      return standin::expectedTokenCount(servable, answer.issued.prompt, answer.issued.maxTokens) !=
             answer.received;
    });
    if (ended.tokenCount != answer.received || (hadCandidates && answer.candidates.empty())) {
      log_.add(at, Point::wholeAnswer,
               "answer to " + ended.request.value + " ended after " +
                   std::to_string(answer.received) + " tokens, announced " +
                   std::to_string(ended.tokenCount));
      return;
    }
    const bool current =
        std::any_of(answer.candidates.begin(), answer.candidates.end(),
                    [&](const auto& servable) { return inForceSince(servable, answer.issuedAt); });
    if (hadCandidates && !current) {
      log_.add(at, Point::configurationInForce,
               "request " + ended.request.value + " at " + answer.issued.router +
                   " was answered by replaced version " + answer.candidates.front().version);
    }
  }

  ViolationLog& log_;
  OracleBounds bounds_;
  std::map<std::string, std::string> adapterModels_;
  std::map<std::string, std::vector<ActivePeriod>> periods_;  ///< By model, in order of sending.
  std::set<std::string> requestsSeen_;
  std::map<base::RequestId, PendingAnswer> answers_;
};

}  // namespace

std::unique_ptr<Checker> makeAnswerChecker(ViolationLog& log, const OracleBounds& bounds) {
  return std::make_unique<AnswerChecker>(log, bounds);
}

}  // namespace walnut::simulator
