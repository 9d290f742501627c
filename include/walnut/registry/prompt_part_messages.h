#pragma once
/// @file
/// Messages about parts of prompts that crash workers: requests that differ may share such a part.
/// They need feature level `kPromptParts`.

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/registry/request_digest.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// The parts that the prompt of a request which was cut at a worker shares with other requests, in
/// their order.
struct CutPromptParts {
  RequestDigest request;
  WorkerId worker;
  std::vector<PromptPartDigest> parts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, worker, parts);
  }
};
/// Gateway to leader: parts of the requests in the CutReport that follows.
struct CutPartsReport {
  std::vector<CutPromptParts> cuts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(cuts);
  }
};

/// Treatment of requests with a part that may crash workers.
enum class PartStanding : std::uint8_t {
  watched = 0,  ///< They are sent; the gateway reports when such a request was last answered.
  onTrial = 1,  ///< One of them is sent, the others are refused.
  refused = 2,  ///< They are refused.
};
/// A part that may crash workers, with the treatment of requests that have it.
struct SuspectPart {
  PromptPartDigest part;
  PartStanding standing = PartStanding::watched;
  std::uint32_t crashes = 0;    ///< Number of workers that crashed under such requests.
  base::Duration remaining{0};  ///< Time until the standing expires, without new evidence.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(part, standing, crashes, remaining);
  }
};
/// Leader to gateway: all suspect parts. Sent when the list changes, and before the first view on a
/// connection unless it is empty; a gateway without a list assumes that there are none.
struct SuspectPartList {
  std::vector<SuspectPart> parts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(parts);
  }
};

/// A part with which a request was answered.
struct AnsweredPart {
  PromptPartDigest part;
  base::Duration age{0};  ///< Time since the latest answer began.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(part, age);
  }
};
/// Gateway to leader: suspect parts with which the gateway has seen requests answered.
struct PartsAnswered {
  std::vector<AnsweredPart> parts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(parts);
  }
};

}  // namespace walnut::registry
