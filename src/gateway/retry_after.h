#pragma once
/// @file
/// Formats the Retry-After field of a response.

#include <Poco/NumberFormatter.h>

#include <string>

#include "walnut/base/time.h"

namespace walnut::gateway {

/// @return the value of a Retry-After field, in seconds with two decimals.
inline std::string retryAfterText(base::Duration duration) {
  constexpr int kDecimals = 2;
  return Poco::NumberFormatter::format(std::chrono::duration<double>(duration).count(), kDecimals);
}

}  // namespace walnut::gateway
