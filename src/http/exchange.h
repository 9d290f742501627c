#pragma once
/// @file
/// One HTTP request and its response on the server side, free of exceptions.

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/error_body.h"
#include "walnut/base/error.h"

namespace walnut::http {

/// Owned by the thread of its connection. A failed write means that the peer is gone; later writes
/// do nothing.
class Exchange {
 public:
  Exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

  /// @return true if the connection ended within the request, as far as it was read.
  bool isCut() const;
  const std::string& method() const;
  /// Path without the query, split at '/', percent-decoded.
  const std::vector<std::string>& segments() const { return segments_; }
  /// @return true if the path is exactly these segments.
  bool pathIs(std::initializer_list<std::string_view> segments) const;
  std::optional<std::string> query(const std::string& name) const;
  std::optional<std::string> header(const std::string& name) const;

  /// Reads the whole body. Nothing is allocated beyond `maxBytes`.
  /// @return `inputTooLarge`, or `malformedInput` if its length is not given or it breaks off.
  base::Result<std::string> readBody(std::size_t maxBytes);

  /// Sets a header of the response; before the response is begun.
  void setHeader(const std::string& name, const std::string& value);

  void sendJson(int status, const std::string& body);
  void sendText(int status, const std::string& contentType, const std::string& body);
  void sendEmpty(int status);
  void sendError(const ErrorBody& body);
  /// The path exists, but not with this method. It has no error code of its own: status 405 tells.
  /// @param allowed the methods, as in `GET, PUT`.
  void sendMethodNotAllowed(const std::string& allowed);

  /// Begins a chunked response with status 200.
  void beginStream(const std::string& contentType);
  /// @return false if the peer is gone.
  bool writeStream(std::string_view bytes);

  bool responseBegun() const { return responseBegun_; }
  /// @return true if the peer has closed its connection; never blocks.
  bool peerGone();

 private:
  void parsePath();
  bool hasBody() const;
  /// Marks the response as begun. A body that nobody has read is read and thrown away first: on a
  /// kept connection it would be taken for the next request.
  void beginResponse();

  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  std::vector<std::string> segments_;
  std::vector<std::pair<std::string, std::string>> queryParameters_;
  std::ostream* stream_ = nullptr;
  bool bodyRead_ = false;
  bool responseBegun_ = false;
  bool writeFailed_ = false;
};

}  // namespace walnut::http
