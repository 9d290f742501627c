#include "registry/stream_origin_book.h"

#include <algorithm>

namespace walnut::registry {

void addStream(StreamsBegan& report, const StreamOrigin& origin, StreamId stream) {
  const auto found = std::find_if(
      report.groups.begin(), report.groups.end(), [&origin](const StreamsOfVersion& group) {
        return group.service == origin.service && group.version == origin.version;
      });
  if (found != report.groups.end()) {
    found->streams.push_back(stream);
  } else {
    report.groups.push_back({origin.service, origin.version, {stream}});
  }
}

void StreamOriginBook::add(const StreamsBegan& report, base::TimePoint now) {
  for (const StreamsOfVersion& group : report.groups) {
    const StreamOrigin origin{group.service, group.version};
    for (const StreamId stream : group.streams) {
      add(stream, origin, now);
    }
  }
}

bool StreamOriginBook::add(StreamId stream, const StreamOrigin& origin, base::TimePoint now) {
  forgetOld(now);
  if (stream == 0 || origin.version.empty()) {
    return false;
  }
  const auto [found, added] = streams_.try_emplace(stream);
  if (!added) {
    return addToKnown(stream, found->second, origin, now);
  }
  found->second = {now, use(origin), kNone};
  additions_.push_back({now, stream});
  if (additions_.size() > maxStreams_) {
    forgetOldest();
  }
  return true;
}

bool StreamOriginBook::addToKnown(StreamId stream, Stream& known, const StreamOrigin& origin,
                                  base::TimePoint now) {
  const bool conflicted = known.otherOrigin != kNone;
  if (!conflicted && origins_[known.origin].origin == origin) {
    return false;
  }
  if (!conflicted) {
    known.otherOrigin = use(origin);
  }
  if (known.addedAt != now) {
    known.addedAt = now;
    additions_.push_back({now, stream});
    if (additions_.size() > maxStreams_) {
      forgetOldest();
    }
  }
  return !conflicted;
}

std::optional<StreamOrigin> StreamOriginBook::find(StreamId stream, base::TimePoint now) const {
  const auto found = streams_.find(stream);
  if (found == streams_.end() || found->second.otherOrigin != kNone ||
      now - found->second.addedAt > kStreamMemory) {
    return std::nullopt;
  }
  return origins_[found->second.origin].origin;
}

std::vector<StreamsBegan> StreamOriginBook::reports(std::size_t maxStreams,
                                                    base::TimePoint now) const {
  std::vector<StreamsBegan> reports;
  std::size_t count = maxStreams;  // Of the last report.
  const auto report = [this, &reports, &count, maxStreams](StreamId stream, OriginIndex index) {
    if (index == kNone) {
      return;
    }
    if (count >= maxStreams) {
      reports.emplace_back();
      count = 0;
    }
    addStream(reports.back(), origins_[index].origin, stream);
    ++count;
  };
  for (const Addition& addition : additions_) {
    const auto found = streams_.find(addition.stream);
    if (found != streams_.end() && found->second.addedAt == addition.at &&
        now - addition.at <= kStreamMemory) {
      report(addition.stream, found->second.origin);
      report(addition.stream, found->second.otherOrigin);
    }
  }
  return reports;
}

void StreamOriginBook::forgetOld(base::TimePoint now) {
  while (!additions_.empty() && now - additions_.front().at > kStreamMemory) {
    forgetOldest();
  }
}

void StreamOriginBook::forgetOldest() {
  const Addition oldest = additions_.front();
  additions_.pop_front();
  const auto found = streams_.find(oldest.stream);
  if (found == streams_.end() || found->second.addedAt != oldest.at) {
    return;
  }
  release(found->second.origin);
  release(found->second.otherOrigin);
  streams_.erase(found);
}

StreamOriginBook::OriginIndex StreamOriginBook::use(const StreamOrigin& origin) {
  const auto [found, added] = indexes_.try_emplace(origin, kNone);
  if (added && freeIndexes_.empty()) {
    found->second = static_cast<OriginIndex>(origins_.size());
    origins_.push_back({origin, 0});
  } else if (added) {
    found->second = freeIndexes_.back();
    freeIndexes_.pop_back();
    origins_[found->second] = {origin, 0};
  }
  ++origins_[found->second].uses;
  return found->second;
}

void StreamOriginBook::release(OriginIndex index) {
  if (index == kNone || --origins_[index].uses > 0) {
    return;
  }
  indexes_.erase(origins_[index].origin);
  freeIndexes_.push_back(index);
}

}  // namespace walnut::registry
