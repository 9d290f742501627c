/// @file
/// Registration of keys: how the text of each kind of value is checked and assigned.

#include "walnut/runtime/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace walnut::runtime {

namespace {

using base::Error;
using base::ErrorCode;
using base::Result;

constexpr const char* kEndpointRange = "IP-NUMBER:PORT, port 0 .. 65535";

/// @return the number that makes up the whole text, or an error.
template <class Number>
Result<Number> parseNumber(const std::string& text, Number low, Number high) {
  Number value{};
  const char* const end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, value);
  const bool overflow = failure == std::errc::result_out_of_range;
  if (rest != end || (failure != std::errc() && !overflow)) {
    return Error{ErrorCode::wrongType, "", "not a number of this kind"};
  }
  // The condition is negated so that NaN is refused as well.
  if (overflow || !(value >= low && value <= high)) {
    return Error{ErrorCode::outOfRange, "", "out of range"};
  }
  return value;
}

std::string formatReal(double value) {
  constexpr std::size_t kLongestReal = 32;
  std::string text(kLongestReal, '\0');
  const auto [end, failure] = std::to_chars(text.data(), text.data() + text.size(), value);
  (void)failure;  // The buffer holds the shortest form of any double.
  text.resize(static_cast<std::size_t>(end - text.data()));
  return text;
}

std::string formatRange(const std::string& low, const std::string& high, const char* unit) {
  return low + " .. " + high + unit;
}

std::string join(const std::vector<std::string>& parts, const char* separator) {
  std::string text;
  for (const std::string& part : parts) {
    text += text.empty() ? part : separator + part;
  }
  return text;
}

}  // namespace

Settings::Settings(std::string program, std::string summary)
    : program_(std::move(program)), summary_(std::move(summary)) {}

void Settings::addString(const std::string& key, std::string& value, const std::string& help) {
  const auto assign = [&value](const std::vector<std::string>& values) -> Result<void> {
    value = values.front();
    return base::success();
  };
  keys_.push_back({key, help, "text", value, false, assign});
}

void Settings::addChoice(const std::string& key, std::string& value,
                         std::vector<std::string> choices, const std::string& help) {
  const std::string range = join(choices, " | ");
  const auto assign = [&value, choices = std::move(choices)](
                          const std::vector<std::string>& values) -> Result<void> {
    if (std::find(choices.begin(), choices.end(), values.front()) == choices.end()) {
      return Error{ErrorCode::outOfRange, "", "not one of the choices"};
    }
    value = values.front();
    return base::success();
  };
  keys_.push_back({key, help, range, value, false, assign});
}

void Settings::addInteger(const std::string& key, std::int64_t& value, std::int64_t low,
                          std::int64_t high, const std::string& help) {
  const auto assign = [&value, low, high](const std::vector<std::string>& values) -> Result<void> {
    BOOST_OUTCOME_TRY(parsed, parseNumber<std::int64_t>(values.front(), low, high));
    value = parsed;
    return base::success();
  };
  const std::string range = formatRange(std::to_string(low), std::to_string(high), "");
  keys_.push_back({key, help, range, std::to_string(value), false, assign});
}

void Settings::addReal(const std::string& key, double& value, double low, double high,
                       const std::string& help) {
  const auto assign = [&value, low, high](const std::vector<std::string>& values) -> Result<void> {
    BOOST_OUTCOME_TRY(parsed, parseNumber<double>(values.front(), low, high));
    value = parsed;
    return base::success();
  };
  const std::string range = formatRange(formatReal(low), formatReal(high), "");
  keys_.push_back({key, help, range, formatReal(value), false, assign});
}

void Settings::addBoolean(const std::string& key, bool& value, const std::string& help) {
  const auto assign = [&value](const std::vector<std::string>& values) -> Result<void> {
    const std::string& text = values.front();
    if (text != "true" && text != "false") {
      return Error{ErrorCode::wrongType, "", "not a boolean"};
    }
    value = text == "true";
    return base::success();
  };
  keys_.push_back({key, help, "true | false", value ? "true" : "false", false, assign});
}

void Settings::addMillis(const std::string& key, base::Duration& value, std::int64_t low,
                         std::int64_t high, const std::string& help) {
  const auto assign = [&value, low, high](const std::vector<std::string>& values) -> Result<void> {
    BOOST_OUTCOME_TRY(millis, parseNumber<std::int64_t>(values.front(), low, high));
    value = std::chrono::milliseconds(millis);
    return base::success();
  };
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  const std::string range = formatRange(std::to_string(low), std::to_string(high), " ms");
  keys_.push_back({key, help, range, std::to_string(millis), false, assign});
}

void Settings::addEndpoint(const std::string& key, base::Endpoint& value, const std::string& help) {
  const auto assign = [&value](const std::vector<std::string>& values) -> Result<void> {
    BOOST_OUTCOME_TRY(parsed, parseEndpoint(values.front()));
    value = parsed;
    return base::success();
  };
  const std::string defaultText = value.address.empty() ? "" : formatEndpoint(value);
  keys_.push_back({key, help, kEndpointRange, defaultText, false, assign});
}

void Settings::addStringList(const std::string& key, std::vector<std::string>& value,
                             const std::string& help) {
  const auto assign = [&value](const std::vector<std::string>& values) -> Result<void> {
    if (std::find(values.begin(), values.end(), "") != values.end()) {
      return Error{ErrorCode::outOfRange, "", "an item is empty"};
    }
    value = values;
    return base::success();
  };
  keys_.push_back({key, help, "list of texts", join(value, ","), true, assign});
}

void Settings::addEndpointList(const std::string& key, std::vector<base::Endpoint>& value,
                               const std::string& help) {
  const auto assign = [&value](const std::vector<std::string>& values) -> Result<void> {
    std::vector<base::Endpoint> endpoints;
    for (const std::string& text : values) {
      BOOST_OUTCOME_TRY(endpoint, parseEndpoint(text));
      endpoints.push_back(endpoint);
    }
    value = std::move(endpoints);
    return base::success();
  };
  std::vector<std::string> defaults;
  defaults.reserve(value.size());
  for (const base::Endpoint& endpoint : value) {
    defaults.push_back(formatEndpoint(endpoint));
  }
  const std::string range = std::string("list of ") + kEndpointRange;
  keys_.push_back({key, help, range, join(defaults, ","), true, assign});
}

Settings::Key* Settings::find(const std::string& name) {
  const auto matches = [&name](const Key& key) { return key.name == name; };
  const auto found = std::find_if(keys_.begin(), keys_.end(), matches);
  return found == keys_.end() ? nullptr : &*found;
}

}  // namespace walnut::runtime
