#pragma once
/// @file
/// What the stand-ins' routes have in common: refusals in the shape of the engines' published
/// protocol, and typed query parameters.

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/exchange.h"
#include "walnut/base/error.h"
#include "walnut/engine/json_codec.h"

namespace walnut::rehearsal {

/// Sends a typed refusal with the status that carries its code.
inline void sendRefusal(http::Exchange& exchange, const engine::Refusal& refusal) {
  exchange.sendJson(engine::httpStatusOf(refusal.error.code), engine::encodeRefusal(refusal));
}

/// Sends a refusal of something that was not begun.
inline void sendRefusal(http::Exchange& exchange, const base::Error& error) {
  sendRefusal(exchange, engine::Refusal{error, engine::GenerateFailed::Started::no});
}

inline void sendNoSuchRoute(http::Exchange& exchange) {
  sendRefusal(exchange, base::Error{base::ErrorCode::notFound, "path", "no such route"});
}

/// @return the query parameter as a number in [low, high]; `missingField`, `wrongType` or
/// `outOfRange` with its name.
template <class Number>
base::Result<Number> queryNumber(const http::Exchange& exchange, const std::string& name,
                                 Number low, Number high) {
  const auto text = exchange.query(name);
  if (!text) {
    return base::Error{base::ErrorCode::missingField, name, "required in the query"};
  }
  Number value{};
  const char* const end = text->data() + text->size();
  const auto [rest, failure] = std::from_chars(text->data(), end, value);
  if (failure == std::errc::invalid_argument || rest != end) {
    return base::Error{base::ErrorCode::wrongType, name, "not a number of this kind"};
  }
  if (failure != std::errc() || !(value >= low && value <= high)) {
    return base::Error{base::ErrorCode::outOfRange, name, "out of range"};
  }
  return value;
}

/// @return the query parameter as a boolean.
inline base::Result<bool> queryBoolean(const http::Exchange& exchange, const std::string& name) {
  const auto text = exchange.query(name);
  if (!text) {
    return base::Error{base::ErrorCode::missingField, name, "required in the query"};
  }
  if (*text != "true" && *text != "false") {
    return base::Error{base::ErrorCode::wrongType, name, "accepted: true, false"};
  }
  return *text == "true";
}

/// @return true if the request is `method` on exactly this path.
inline bool isRoute(const http::Exchange& exchange, std::string_view method,
                    std::initializer_list<std::string_view> segments) {
  return exchange.method() == method && exchange.pathIs(segments);
}

/// @return true if the request is `method` on a path of `count` segments that begins with `first`.
inline bool isRouteUnder(const http::Exchange& exchange, std::string_view method,
                         std::initializer_list<std::string_view> first, std::size_t count) {
  const auto& segments = exchange.segments();
  return exchange.method() == method && segments.size() == count && first.size() <= count &&
         std::equal(first.begin(), first.end(), segments.begin());
}

}  // namespace walnut::rehearsal
