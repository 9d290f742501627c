#include "routing/request_machine.h"

#include <cstdlib>

namespace walnut::routing {

namespace {

bool legal(RequestState from, RequestState next) {
  switch (from) {
    case RequestState::queued:
      return next == RequestState::claiming || next == RequestState::starting ||
             next == RequestState::parking || next == RequestState::done;
    case RequestState::claiming:
      return next == RequestState::starting || next == RequestState::queued ||
             next == RequestState::done;
    case RequestState::starting:
      return next == RequestState::streaming || next == RequestState::backingOff ||
             next == RequestState::done;
    case RequestState::streaming:
      return next == RequestState::exporting || next == RequestState::backingOff ||
             next == RequestState::done;
    case RequestState::exporting:
      return next == RequestState::queued || next == RequestState::streaming ||
             next == RequestState::backingOff || next == RequestState::done;
    case RequestState::parking:
    case RequestState::backingOff:
      return next == RequestState::queued || next == RequestState::done;
    case RequestState::done:
      return false;
  }
  return false;
}

/// Combines two outcomes: `yes` takes precedence over `unknown`, which takes precedence over `no`.
Executed combine(Executed one, Executed other) {
  if (one == Executed::yes || other == Executed::yes) {
    return Executed::yes;
  }
  if (one == Executed::unknown || other == Executed::unknown) {
    return Executed::unknown;
  }
  return Executed::no;
}

}  // namespace

void RequestMachine::enter(RequestState next) {
  if (!legal(state_, next)) {
    std::abort();
  }
  state_ = next;
}

void RequestMachine::markDispatched() {
  previousAttempts_ = combine(previousAttempts_, currentAttempt_);
  currentAttempt_ = Executed::unknown;
}

void RequestMachine::markStarted() { currentAttempt_ = Executed::yes; }

void RequestMachine::markNotStarted() {
  if (currentAttempt_ != Executed::yes) {
    currentAttempt_ = Executed::no;
  }
}

Executed RequestMachine::executed() const { return combine(previousAttempts_, currentAttempt_); }

TokenCheck RequestMachine::checkToken(std::uint32_t offset) const {
  if (offset < delivered_) {
    return TokenCheck::duplicate;
  }
  return offset == delivered_ ? TokenCheck::deliver : TokenCheck::gap;
}

void RequestMachine::deliver(const std::string& text) {
  ++delivered_;
  deliveredText_ += text;
}

}  // namespace walnut::routing
