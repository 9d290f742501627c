#pragma once
/// @file
/// How a caller is told when to come back.

#include <Poco/NumberFormatter.h>

#include <string>

#include "walnut/base/time.h"

namespace walnut::gateway {

/// @return the value of a Retry-After field, in seconds with their fraction.
inline std::string retryAfterText(base::Duration duration) {
  constexpr int kDecimals = 2;
  return Poco::NumberFormatter::format(std::chrono::duration<double>(duration).count(), kDecimals);
}

}  // namespace walnut::gateway
