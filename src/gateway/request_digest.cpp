#include "gateway/request_digest.h"

#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace walnut::gateway {

namespace {

/// Adds one part of a request to the digest. The length goes first, so that different parts never
/// yield the same sequence of bytes.
void update(Poco::SHA2Engine& engine, std::string_view part) {
  const auto length = static_cast<std::uint64_t>(part.size());
  engine.update(&length, sizeof(length));
  engine.update(part.data(), part.size());
}

/// Takes as many bytes of the digest as the result holds.
template <class Digest>
Digest resultOf(Poco::SHA2Engine& engine) {
  const Poco::DigestEngine::Digest& digest = engine.digest();
  Digest result;
  std::copy_n(digest.begin(), std::min(digest.size(), result.bytes.size()), result.bytes.begin());
  return result;
}

}  // namespace

registry::RequestDigest digestOf(std::string_view caller, const net::HttpRequest& request) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  update(engine, caller);
  update(engine, request.method);
  update(engine, request.target);
  update(engine, request.body);
  return resultOf<registry::RequestDigest>(engine);
}

std::vector<registry::PromptPartDigest> sharedPartsOf(const std::string& service,
                                                      const std::vector<std::string>& promptParts) {
  const std::size_t shared = promptParts.empty() ? 0 : promptParts.size() - 1;
  std::vector<registry::PromptPartDigest> digests;
  for (std::size_t index = 0; index < std::min(shared, kMaxSharedParts); ++index) {
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    update(engine, service);
    update(engine, promptParts[index]);
    digests.push_back(resultOf<registry::PromptPartDigest>(engine));
  }
  return digests;
}

}  // namespace walnut::gateway
