#pragma once
/// @file
/// Messages about the software version of the worker at which a stream began. Versions of one
/// service may write different events, so a stream may only be continued at the version that began
/// it, by whichever gateway. The messages need feature level `kSoftwareVersions`.

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace walnut::registry {

/// Hash of the id that the caller gave the request which brought the first event of a stream.
using StreamId = std::uint64_t;

/// Streams that began at workers of one version.
struct StreamsOfVersion {
  std::string service;
  std::string version;  ///< Never empty.
  std::vector<StreamId> streams;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, version, streams);
  }
};
/// Gateway to leader: streams that have begun since the last such message. A new leader is sent all
/// that the gateway remembers.
struct StreamsBegan {
  std::vector<StreamsOfVersion> groups;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(groups);
  }
};
/// Gateway to leader: asks where a stream that a caller takes up began.
struct FindStreamOrigin {
  std::uint64_t sequence = 0;  ///< Number chosen by the gateway; echoed.
  StreamId stream = 0;         ///< 0: the caller did not say.
  std::string service;         ///< That the request was routed to.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, stream, service);
  }
};
/// Leader to gateway: where the stream began.
struct StreamOriginFound {
  std::uint64_t sequence = 0;
  std::string service;
  std::string version;  ///< Empty: not known for certain.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, service, version);
  }
};

/// Requests of one gateway that wait for a model, or an adapter of it, at a worker of one version.
struct VersionWait {
  std::string service;
  std::string model;
  std::string adapter;  ///< Empty: the model itself.
  std::string version;
  std::uint32_t waiting = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, model, adapter, version, waiting);
  }
};
/// Gateway to leader: streams that wait to be continued. Replaces what the gateway reported before.
/// They are counted in its DemandUpdate, too.
struct VersionDemand {
  std::vector<VersionWait> waits;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(waits);
  }
};

/// Gateway to leader: asks for a view that repeats the mark, so that the gateway knows since when
/// the leader knew what is in that view, however late it is read.
struct MarkView {
  std::uint64_t mark = 0;  ///< Not 0; increases on a connection.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(mark);
  }
};

}  // namespace walnut::registry
