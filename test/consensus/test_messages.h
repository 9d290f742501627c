#pragma once
/// @file
/// Factory functions for the messages used in the handler tests.

#include <string>
#include <vector>

#include "walnut/consensus/messages.h"

namespace walnut::consensus::test {

/// @return the command entries [from, to], all of the same term.
inline std::vector<LogEntry> makeEntries(Term term, LogIndex from, LogIndex to) {
  std::vector<LogEntry> entries;
  for (LogIndex index = from; index <= to; ++index) {
    const std::string payload = std::to_string(term) + ":" + std::to_string(index);
    entries.push_back({term, index, EntryType::command, payload});
  }
  return entries;
}

/// Index and term of a log entry.
struct LogPosition {
  LogIndex index = 0;
  Term term = 0;
};

inline AppendRequest makeAppend(Term term, LogPosition previous, std::vector<LogEntry> entries,
                                LogIndex commitIndex = 0) {
  AppendRequest request;
  request.term = term;
  request.previousIndex = previous.index;
  request.previousTerm = previous.term;
  request.commitIndex = commitIndex;
  request.entries = std::move(entries);
  return request;
}

inline AppendReply makeAccepted(Term term, LogIndex matchIndex, std::uint64_t round = 0) {
  AppendReply reply;
  reply.term = term;
  reply.accepted = true;
  reply.matchIndex = matchIndex;
  reply.round = round;
  return reply;
}

inline AppendReply makeRefused(Term term, LogIndex hintIndex) {
  AppendReply reply;
  reply.term = term;
  reply.hintIndex = hintIndex;
  return reply;
}

inline VoteRequest makeVoteRequest(Term term, LogPosition last) {
  VoteRequest request;
  request.term = term;
  request.lastLogIndex = last.index;
  request.lastLogTerm = last.term;
  return request;
}

}  // namespace walnut::consensus::test
