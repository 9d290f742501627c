#pragma once
/// @file
/// Value types for HTTP/1.1 messages.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnut::net {

/// One header field.
struct Header {
  std::string name;
  std::string value;
  bool operator==(const Header&) const = default;
};

/// List of header fields in their original order. Names are compared case-insensitively.
class HeaderList {
 public:
  void add(std::string name, std::string value);
  /// Replaces all fields of that name.
  void set(std::string_view name, std::string value);
  void remove(std::string_view name);
  /// @return the first value of that name, or nullptr.
  const std::string* find(std::string_view name) const;
  /// @return the first value of that name as an unsigned integer; nothing if the field is absent or
  /// is not a number.
  std::optional<std::uint64_t> findNumber(std::string_view name) const;

  const std::vector<Header>& all() const { return headers_; }

 private:
  std::vector<Header> headers_;
};

/// A request with its whole body.
struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query, exactly as received.
  HeaderList headers;
  std::string body;

  /// @return the target without its query.
  std::string_view path() const;
};

/// Status line and header fields of a response.
struct HttpResponseHead {
  int status = 0;
  std::string reason;
  HeaderList headers;
};

/// A response with its whole body.
struct HttpResponse {
  HttpResponseHead head;
  std::string body;
};

/// Removes the connection-specific (hop-by-hop) fields (RFC 9110, section 7.6.1), including those
/// that `Connection` lists, and the fields that define the body's length.
void removeConnectionHeaders(HeaderList& headers);

/// @return the standard reason phrase of a status code.
std::string_view reasonPhrase(int status);

/// @name Serialization of heads, including the empty line that ends them
/// @{
std::string encodeRequestHead(const HttpRequest& request);
std::string encodeResponseHead(const HttpResponseHead& head);
/// @}

}  // namespace walnut::net
