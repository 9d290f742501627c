#include "gateway/readiness_log.h"

#include <string_view>

#include "walnut/runtime/settings.h"

namespace walnut::gateway {

using runtime::LogEvent;

namespace {

constexpr base::Duration kCheckInterval = std::chrono::milliseconds(250);
constexpr base::Duration kLogInterval = std::chrono::seconds(1);

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string_view stateName(RegistrySession::State state) {
  switch (state) {
    case RegistrySession::State::searching:
      return "searching";
    case RegistrySession::State::connecting:
      return "connecting";
    case RegistrySession::State::subscribing:
      return "subscribing";
    case RegistrySession::State::following:
      return "following";
  }
  return "unknown";
}

}  // namespace

ReadinessLog::ReadinessLog(event::Scheduler& scheduler, const RegistrySession& session,
                           const Gateway& gateway, runtime::EventLog& log)
    : scheduler_(scheduler),
      session_(session),
      gateway_(gateway),
      log_(log),
      timer_(scheduler.createTimer([this] { check(); })) {}

void ReadinessLog::start() {
  waitingSince_ = scheduler_.now();
  timer_->enableAt(scheduler_.now() + kCheckInterval);
}

void ReadinessLog::check() {
  const base::TimePoint now = scheduler_.now();
  const bool wasWaiting = waitingSince_.has_value();
  base::Duration next = kCheckInterval;
  if (!gateway_.ready()) {
    waitingSince_ = waitingSince_.value_or(now);
    if (now >= *waitingSince_ + kLogInterval) {
      logWait();
      next = kLogInterval;
    }
  } else if (wasWaiting) {
    log_.write(LogEvent::dependencyRegained,
               {{"dependency", "document"}, {"millis", millisOf(now - *waitingSince_)}});
    waitingSince_.reset();
  }
  timer_->enableAt(now + next);
}

void ReadinessLog::logWait() const {
  const base::TimePoint now = scheduler_.now();
  const std::string_view awaited = !session_.following()            ? "leader"
                                   : gateway_.document() == nullptr ? "document"
                                                                    : "confirmation";
  log_.write(LogEvent::dependencyLost, {{"dependency", "document"},
                                        {"awaited", awaited},
                                        {"server", runtime::formatEndpoint(session_.server())},
                                        {"state", stateName(session_.state())},
                                        {"state-millis", millisOf(now - session_.stateSince())},
                                        {"silent-millis", millisOf(now - session_.heardAt())},
                                        {"millis", millisOf(now - *waitingSince_)}});
}

}  // namespace walnut::gateway
