#include "consensus/raft_log.h"

#include <algorithm>
#include <utility>

namespace walnut::consensus {

RaftLog::RaftLog(LogIndex baseIndex, Term baseTerm, std::vector<LogEntry> entries)
    : baseIndex_(baseIndex), baseTerm_(baseTerm) {
  for (LogEntry& entry : entries) {
    if (entry.index == lastIndex() + 1) {
      entries_.push_back(std::move(entry));
    }
  }
}

std::optional<Term> RaftLog::termAt(LogIndex index) const {
  if (index == baseIndex_) {
    return baseTerm_;
  }
  if (index < baseIndex_ || index > lastIndex()) {
    return std::nullopt;
  }
  return at(index).term;
}

bool RaftLog::isUpToDate(LogIndex otherLastIndex, Term otherLastTerm) const {
  if (otherLastTerm != lastTerm()) {
    return otherLastTerm > lastTerm();
  }
  return otherLastIndex >= lastIndex();
}

LogIndex RaftLog::startOfTermAt(LogIndex index) const {
  const Term term = at(index).term;
  while (index > firstIndex() && at(index - 1).term == term) {
    --index;
  }
  return index;
}

std::vector<LogEntry> RaftLog::range(LogIndex first, LogIndex last) const {
  std::vector<LogEntry> result;
  for (LogIndex index = first; index <= last; ++index) {
    result.push_back(at(index));
  }
  return result;
}

std::vector<LogEntry> RaftLog::batchFrom(LogIndex first, std::size_t maxEntries,
                                         std::size_t maxBytes) const {
  std::vector<LogEntry> result;
  std::size_t bytes = 0;
  for (LogIndex index = first; index <= lastIndex() && result.size() < maxEntries; ++index) {
    bytes += at(index).payload.size();
    if (!result.empty() && bytes > maxBytes) {
      break;
    }
    result.push_back(at(index));
  }
  return result;
}

void RaftLog::append(LogEntry entry) { entries_.push_back(std::move(entry)); }

void RaftLog::truncateFrom(LogIndex index) {
  while (lastIndex() >= index && !entries_.empty()) {
    entries_.pop_back();
  }
}

void RaftLog::dropUpTo(LogIndex index) {
  while (baseIndex_ < index && !entries_.empty()) {
    baseIndex_ = entries_.front().index;
    baseTerm_ = entries_.front().term;
    entries_.pop_front();
  }
}

void RaftLog::reset(LogIndex baseIndex, Term baseTerm) {
  entries_.clear();
  baseIndex_ = baseIndex;
  baseTerm_ = baseTerm;
}

}  // namespace walnut::consensus
