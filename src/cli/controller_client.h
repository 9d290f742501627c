#pragma once
/// @file
/// Client of the resource API that moves on to another controller when one fails. A write is resent
/// under the same request id, so that it takes effect once.

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cli/http_call.h"
#include "http/error_body.h"
#include "http/resource_codec.h"
#include "walnut/protocol/messages.h"

namespace walnut::cli {

/// Value, or the error as the controller told it.
template <class T>
using CallResult =
    boost::outcome_v2::result<T, http::ErrorBody, boost::outcome_v2::policy::terminate>;

struct ClientOptions {
  std::vector<base::Endpoint> controllers;  ///< At least one.
  base::Duration timeout{};                 ///< For the answer to one try.
  std::uint64_t attempts = 1;               ///< Tries of one request, over all controllers.
  base::Duration retryPause{};              ///< Between rounds over all controllers.
};

/// A conditional write.
struct WriteCondition {
  std::string requestId;
  std::optional<resource::Version> expectedVersion;
};

/// Not thread safe. A request starts at the controller that served the last one.
class ControllerClient {
 public:
  explicit ControllerClient(ClientOptions options) : options_(std::move(options)) {}

  CallResult<http::ResourceList> list(std::optional<resource::Kind> kind);
  CallResult<resource::Resource> get(const resource::Key& key);
  CallResult<protocol::CellStatus> status();
  CallResult<resource::Version> put(const resource::Key& key, const resource::Spec& spec,
                                    const WriteCondition& condition);
  CallResult<resource::Version> remove(const resource::Key& key, const WriteCondition& condition);
  CallResult<void> addMember(const consensus::Member& member, const std::string& requestId);
  CallResult<void> removeMember(base::ServerId server, const std::string& requestId);

  /// Opens a watch at the first controller that serves it.
  CallResult<std::unique_ptr<HttpResponse>> openWatch(std::optional<resource::Kind> kind,
                                                      resource::Version from);
  /// Lets the next request start at the next controller.
  void moveOn();

 private:
  using Response = std::unique_ptr<HttpResponse>;

  /// Calls `tryOnce` until there is an answer that another try would not change.
  template <class Try>
  auto retry(Try tryOnce) -> decltype(tryOnce());
  CallResult<Response> requestOnce(const HttpCall& call);
  CallResult<std::string> callOnce(const HttpCall& call);
  /// @return the body of the answer.
  CallResult<std::string> call(const HttpCall& call);

  ClientOptions options_;
  std::size_t current_ = 0;  ///< Index of the controller to try next.
};

/// @return an id for a write that no other write has.
std::string makeRequestId();

}  // namespace walnut::cli
