#pragma once
/// @file
/// HTTP/1.1 messages as values.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnut::net {

struct Header {
  std::string name;
  std::string value;
  bool operator==(const Header&) const = default;
};

/// Header fields in their order. Names are compared without regard to case.
class HeaderList {
 public:
  void add(std::string name, std::string value);
  /// Replaces all fields of that name.
  void set(std::string_view name, std::string value);
  void remove(std::string_view name);
  /// @return the first value of that name, or nullptr.
  const std::string* find(std::string_view name) const;
  /// @return the first value of that name as a whole number; nothing if absent or not one.
  std::optional<std::uint64_t> findNumber(std::string_view name) const;

  const std::vector<Header>& all() const { return headers_; }

 private:
  std::vector<Header> headers_;
};

struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query, exactly as received.
  HeaderList headers;
  std::string body;

  /// @return the target without its query.
  std::string_view path() const;
};

struct HttpResponseHead {
  int status = 0;
  std::string reason;
  HeaderList headers;
};

struct HttpResponse {
  HttpResponseHead head;
  std::string body;
};

/// Removes the fields that concern only one connection (RFC 9110, section 7.6.1), those named by
/// `Connection` included, and the framing fields.
void removeConnectionHeaders(HeaderList& headers);

/// @return the usual reason phrase of a status.
std::string_view reasonPhrase(int status);

/// @name Serialised heads, with the empty line at their end
/// @{
std::string encodeRequestHead(const HttpRequest& request);
std::string encodeResponseHead(const HttpResponseHead& head);
/// @}

}  // namespace walnut::net
