#pragma once
/// @file
/// Checks the required properties of each request, based only on what callers and engines observed.

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

#include "walnut/routing/router.h"

namespace walnut::routing::testing {

class ScenarioOracle {
 public:
  struct Run {
    bool reportedNotStarted = false;
    bool exported = false;
  };
  struct Record {
    CallerRequest caller;
    base::TimePoint deadline;
    base::TimePoint readAt;  ///< Time at which the router read the request.
    std::uint32_t tokens = 0;
    std::uint32_t terminals = 0;
    bool gone = false;
    bool mustBeRefused = false;         ///< The router could not confirm its configuration.
    std::map<std::uint64_t, Run> runs;  ///< Runs by attempt.
  };

  void requested(const CallerRequest& caller, base::TimePoint readAt, bool mustBeRefused) {
    Record& record = records_[caller.request.value];
    record.caller = caller;
    record.deadline = *caller.deadline;
    record.readAt = readAt;
    record.mustBeRefused = mustBeRefused;
  }
  void gone(const base::RequestId& request) { at(request).gone = true; }
  void reportedNotStarted(const base::RequestId& request, base::AttemptId attempt) {
    at(request).runs.at(attempt.value).reportedNotStarted = true;
  }
  void exported(const base::RequestId& request, base::AttemptId attempt) {
    at(request).runs.at(attempt.value).exported = true;
  }

  void token(const CallerToken& token) {
    Record& record = at(token.request);
    expect(record.terminals == 0 && !record.gone, "token after the terminal output", token.request);
    expect(token.offset == record.tokens, "token out of order", token.request);
    expect(token.text == tokenText(token.request, token.offset), "token of another request",
           token.request);
    ++record.tokens;
  }
  void ended(const CallerEnded& ended, base::TimePoint lastStep) {
    Record& record = terminal(ended.request, lastStep);
    expect(ended.tokenCount == record.tokens, "wrong token count", ended.request);
    expect(record.tokens == record.caller.maxTokens, "incomplete answer", ended.request);
    ++answered;
  }
  void refused(const CallerRefused& refused, base::TimePoint lastStep) {
    Record& record = terminal(refused.request, lastStep);
    ++refusals[refused.error.code];
    for (const auto& [attempt, run] : record.runs) {
      const bool truthful = refused.executed != Executed::no || run.reportedNotStarted;
      expect(truthful, "executed: no after an attempt that may have run", refused.request);
    }
  }
  void started(const engine::GenerateRequest& generate) {
    Record& record = at(generate.request);
    expect(!record.mustBeRefused, "admitted while unconfirmed", generate.request);
    expect(record.terminals == 0 && !record.gone, "attempt after the terminal output",
           generate.request);
    expect(generate.offset == record.tokens, "resumed at another offset", generate.request);
    if (!record.caller.repeatable) {
      for (const auto& [attempt, run] : record.runs) {
        const bool sameRun = run.exported && generate.kvSource.has_value();
        expect(run.reportedNotStarted || sameRun, "non-repeatable request may run twice",
               generate.request);
      }
    }
    moved += generate.kvSource.has_value() ? 1 : 0;
    resumed += generate.offset > 0 && !generate.kvSource.has_value() ? 1 : 0;
    record.runs[generate.attempt.value] = Run{};
  }
  void finish() const {
    for (const auto& [id, record] : records_) {
      const std::uint32_t expectedTerminals = record.gone ? 0 : 1;
      expect(record.gone || record.terminals == expectedTerminals, "no terminal output", {id});
    }
  }
  bool live(const base::RequestId& request) const {
    const Record& record = records_.at(request.value);
    return record.terminals == 0 && !record.gone;
  }
  const CallerRequest& caller(const base::RequestId& request) const {
    return records_.at(request.value).caller;
  }

  static std::string tokenText(const base::RequestId& request, std::uint32_t offset) {
    return request.value + ":" + std::to_string(offset) + " ";
  }

  std::uint64_t answered = 0;
  std::uint64_t moved = 0;    ///< Attempts that resumed from an export.
  std::uint64_t resumed = 0;  ///< Attempts that recompute delivered tokens.
  std::map<base::ErrorCode, std::uint64_t> refusals;

 private:
  Record& at(const base::RequestId& request) { return records_.at(request.value); }
  /// @param lastStep time of the router's previous step: a request whose deadline had passed then
  /// must have been ended by it.
  Record& terminal(const base::RequestId& request, base::TimePoint lastStep) {
    Record& record = at(request);
    expect(!record.gone, "terminal output after the caller disconnected", request);
    expect(++record.terminals == 1, "second terminal output", request);
    // A request that was read late, because the router was frozen, is answered in the same step.
    expect(lastStep < record.deadline || record.readAt >= record.deadline, "late", request);
    return record;
  }
  static void expect(bool holds, const char* what, const base::RequestId& request) {
    if (!holds) {
      FAIL((std::string(what) + ", request " + request.value).c_str());
    }
  }

  std::map<std::string, Record> records_;
};

}  // namespace walnut::routing::testing
