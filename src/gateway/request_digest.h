#pragma once
/// @file
/// Digests that identify a request when its caller sends it again, whatever the request id, and the
/// parts that its prompt shares with other requests.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/net/http_message.h"
#include "walnut/registry/request_digest.h"

namespace walnut::gateway {

/// @param caller identifies the caller: a tenant, or another property that distinguishes callers;
/// never a key.
/// @return the digest of caller, method, path and body, which stays the same when the request is
/// sent again. Reads the whole body.
registry::RequestDigest digestOf(std::string_view caller, const net::HttpRequest& request);

/// A request, or a part of prompts, that crashes workers does so at the same point of the answer
/// each time. Crashes after the answer has begun are therefore evidence by themselves, kept under a
/// digest of their own: an answer that begins shows nothing about them, and leaders need not know
/// of it.
/// @return that digest for the digest of a request or part.
template <class Digest>
Digest answeringDigestOf(Digest digest) {
  for (auto& byte : digest.bytes) {
    byte = static_cast<std::uint8_t>(~byte);
  }
  return digest;
}

/// @return the digests of the parts of the prompt that other requests to the service may share: all
/// but the last one, which belongs to the request or its session; at most `kMaxSharedParts`.
std::vector<registry::PromptPartDigest> sharedPartsOf(const std::string& service,
                                                      const std::vector<std::string>& promptParts);

/// Parts beyond this number are not considered; prompts are made of a few.
inline constexpr std::size_t kMaxSharedParts = 16;

}  // namespace walnut::gateway
