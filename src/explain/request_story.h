#pragma once
/// @file
/// The story of one request, from the logs of several processes.

#include <string>
#include <vector>

#include "explain/log_line.h"

namespace walnut::explain {

/// Keeps the lines that name the request and, beside them, changes of belief that may matter to it:
/// loads, unloads and decisions of its model, silence of its workers, leaders and documents; if it
/// was cut, what else was cut at its workers, and what the same request did under other ids,
/// however long before. Needs two passes over the logs, as it is known only after the first which
/// model, workers and digest these are.
class RequestStory {
 public:
  explicit RequestStory(std::string request) : request_(std::move(request)) {}

  /// First pass.
  void takeOwn(const LogLine& line);
  /// Second pass, after all of the first.
  void takeBelief(const LogLine& line);

  /// @return true if some line names the request.
  bool found() const { return !own_.empty(); }
  /// @return the lines in the order of their clocks, which may differ by seconds between machines.
  std::vector<LogLine> lines() const;

 private:
  bool isOfModel(const LogLine& line) const;
  bool isOfWorker(const LogLine& line) const;
  bool isOfDigest(const LogLine& line) const;
  bool within(const LogLine& line) const;

  const std::string request_;
  std::vector<LogLine> own_;
  std::vector<LogLine> beliefs_;
  std::vector<std::string> models_;
  std::vector<std::string> workers_;
  std::string digest_;  ///< What the request is known by under other ids; empty: was not needed.
  std::string begin_;
  std::string end_;
};

}  // namespace walnut::explain
