#include "walnut/runtime/event_log.h"

#include <array>

namespace walnut::runtime {

namespace {

/// Names of the events, in the order of LogEvent.
constexpr std::array<std::string_view, 92> kNames = {
    "process-started",   "process-stopping",    "process-stopped",      "settings-reloaded",
    "dependency-lost",   "dependency-regained", "lines-dropped",        "role-changed",
    "election-ended",    "sync-slow",           "membership-changed",   "member-proposed",
    "join-step",         "recovery-step",       "document-stored",      "document-refused",
    "document-taken",    "document-behind",     "document-stuck",       "document-delivered",
    "view-refused",      "gateway-subscribed",  "loop-held-up",         "worker-stored",
    "worker-reborn",     "heartbeat-refused",   "worker-forgotten",     "worker-silent",
    "worker-heard",      "worker-failing",      "worker-tried",         "model-unanswered",
    "model-answered",    "breaker-opened",      "gateways-counted",     "retries-requested",
    "retries-granted",   "retries-received",    "buffer-limit-reached", "buffer-limit-left",
    "keys-confirmed",    "keys-unconfirmed",    "quota-exhausted",      "quota-regained",
    "quota-leaderless",  "quota-confirmed",     "worker-limited",       "worker-limit-ended",
    "limit-refused",     "limit-exhausted",     "limit-regained",       "worker-slowness-changed",
    "timing-refused",    "crash-confirmed",     "crash-denied",         "crash-retracted",
    "request-suspected", "request-released",    "suspects-taken",       "part-suspected",
    "part-acquitted",    "part-released",       "suspect-parts-taken",  "stream-origin-found",
    "zone-evacuated",    "zone-returned",       "feature-level-raised", "entry-refused",
    "order-turn",        "placement-decided",   "store-place-given",    "order-sent",
    "order-cancelled",   "order-finished",      "model-order-ended",    "load-cut-short",
    "report-read",       "call-unavailable",    "call-refused",         "request-refused",
    "request-waiting",   "late-start-decided",  "attempt-started",      "attempt-failed",
    "answer-without-id", "retry-decided",       "request-cut",          "request-quarantined",
    "request-resumed",   "stream-taken-up",     "request-ended",        "request-left"};
static_assert(kNames.size() == static_cast<std::size_t>(LogEvent::requestLeft) + 1);

}  // namespace

std::string_view logEventName(LogEvent event) { return kNames.at(static_cast<std::size_t>(event)); }

}  // namespace walnut::runtime
