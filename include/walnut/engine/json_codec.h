#pragma once
/// @file
/// JSON bodies of the engines' and the platform's published protocol. Used by both sides: the
/// product's edges and the stand-ins. Decoding never throws; errors name the field.
///
/// Engine routes:
///   POST /v1/orders    Order            -> 200 {"greatest_token": {...}} | typed error
///   POST /v1/report    ReportRequest    -> 200 Report
///   POST /v1/generate  GenerateRequest  -> 200 text/event-stream: `event:` started | token | ended
///                                          | failed, `data:` JSON; or a typed error with `started`
///   POST /v1/cancel    CancelRequest    -> 204 | typed error
///   POST /v1/kv/export ExportRequest    -> 200 ExportReply
///   POST /v1/kv/hold   HoldRequest      -> 200 HoldReply | typed error
///   PUT  /v1/kv/{request}/{attempt}     the bytes of an export -> 200 HoldReply | typed error
///   GET  /v1/kv/{handle}                -> 200 (consumes the export or held copy) | 404
///   GET  /v1/cache-events?after=N       -> 200 {"events": [CacheEvent...]}
/// Platform route:
///   GET  /v1/machines                   -> 200 PlatformList
/// Weight store route:
///   GET  /v1/checkpoints/{name}?bytes=N -> 200 once the (rate-limited) read is done
/// Errors are {"error": {"code", "field", "detail"}, "started": "no|yes|unknown"}; status 409 for
/// staleOrder and wrongIncarnation, 507 insufficientMemory, 404 modelNotLoaded and unknownAttempt,
/// 503 engineLeaving and engineOverloaded, 400 malformed input.

#include <string>
#include <string_view>

#include "walnut/base/error.h"
#include "walnut/engine/messages.h"

namespace walnut::engine {

/// Largest JSON body accepted, in bytes; checked before parsing.
inline constexpr std::size_t kMaxJsonBytes = 4U << 20U;
/// Deepest nesting accepted.
inline constexpr std::size_t kMaxJsonDepth = 32;

std::string encodeOrder(const Order& order);
base::Result<Order> decodeOrder(std::string_view body);

std::string encodeOrderAccepted(const OrderAccepted& accepted);
base::Result<OrderAccepted> decodeOrderAccepted(std::string_view body);

std::string encodeReportRequest(const ReportRequest& request);
base::Result<ReportRequest> decodeReportRequest(std::string_view body);

std::string encodeReport(const Report& report);
base::Result<Report> decodeReport(std::string_view body);

std::string encodeGenerateRequest(const GenerateRequest& request);
base::Result<GenerateRequest> decodeGenerateRequest(std::string_view body);

/// @return the `event:` name of a generate event.
const char* generateEventName(const GenerateEvent& event);
/// @return the `data:` of a generate event: one line of JSON.
std::string encodeGenerateEvent(const GenerateEvent& event);
base::Result<GenerateEvent> decodeGenerateEvent(std::string_view name, std::string_view data);

std::string encodeCancelRequest(const CancelRequest& request);
base::Result<CancelRequest> decodeCancelRequest(std::string_view body);

std::string encodeExportRequest(const ExportRequest& request);
base::Result<ExportRequest> decodeExportRequest(std::string_view body);

std::string encodeExportReply(const ExportReply& reply);
base::Result<ExportReply> decodeExportReply(std::string_view body);

std::string encodeHoldRequest(const HoldRequest& request);
base::Result<HoldRequest> decodeHoldRequest(std::string_view body);

std::string encodeHoldReply(const HoldReply& reply);
base::Result<HoldReply> decodeHoldReply(std::string_view body);

std::string encodeCacheEvents(const std::vector<CacheEvent>& events);
base::Result<std::vector<CacheEvent>> decodeCacheEvents(std::string_view body);

std::string encodePlatformList(const PlatformList& list);
base::Result<PlatformList> decodePlatformList(std::string_view body);

/// Body of a refusal, and what the engine says of the attempt.
struct Refusal {
  base::Error error;
  GenerateFailed::Started started = GenerateFailed::Started::no;
};
std::string encodeRefusal(const Refusal& refusal);
base::Result<Refusal> decodeRefusal(std::string_view body);

/// @return the HTTP status that carries the code.
int httpStatusOf(base::ErrorCode code);

}  // namespace walnut::engine
