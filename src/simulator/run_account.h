#pragma once
/// @file
/// Judges whether requests that may run once keep to it, from what workers and callers saw.

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace walnut::simulator {

class RunAccount {
 public:
  /// A worker began to run a request that may run once.
  void ran(const std::string& request) { ++runs_[request]; }
  /// Its caller was answered.
  void answered(const std::string& request, int status);
  /// A worker sent an answer once more.
  void repeated() { ++repeated_; }

  /// @return requests that ran more than once.
  std::uint64_t ranTwice() const;
  /// @return requests that ran though their callers were promised that they never would.
  std::uint64_t refusedThoughRun() const;
  std::uint64_t repeatedAnswers() const { return repeated_; }
  bool broken() const { return ranTwice() + refusedThoughRun() > 0; }
  std::string description() const;

 private:
  std::map<std::string, std::uint64_t> runs_;
  std::set<std::string> refused_;
  std::map<int, std::uint64_t> statuses_;
  std::uint64_t repeated_ = 0;
};

}  // namespace walnut::simulator
