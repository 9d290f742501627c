/// @file
/// `walnutctl watch`.

#include <algorithm>

#include "cli/commands.h"
#include "engine/json_fields.h"
#include "http/resource_codec.h"
#include "http/watch_codec.h"

namespace walnut::cli {

using base::ErrorCode;
using http::ErrorBody;
using runtime::ExitCode;

namespace {

/// Follows the changes over as many connections as it takes.
///
/// State: `from_`, the version up to which everything was shown. It only grows, and is taken from
/// a list or a bookmark.
class WatchFollower {
 public:
  WatchFollower(ControllerClient& client, Console& console, std::optional<resource::Kind> kind)
      : client_(client), console_(console), kind_(kind) {}

  ExitCode run(std::optional<resource::Version> from) {
    bool mustList = !from;
    from_ = from.value_or(0);
    while (console_.out.good()) {
      const auto failure = mustList ? list() : follow();
      mustList = failure && failure->error.code == ErrorCode::watchTooOld;
      if (failure && !mustList) {
        return reportError(console_, "watch", *failure);
      }
      if (mustList) {
        console_.error << "walnutctl: watch: too far behind; listing again, deletions in between "
                          "are not shown\n";
      }
    }
    return ExitCode::ok;
  }

 private:
  using Failure = std::optional<ErrorBody>;

  /// Shows the present resources.
  Failure list() {
    const auto listed = client_.list(kind_);
    if (listed.has_error()) {
      return listed.error();
    }
    for (const resource::Resource& resource : listed.value().resources) {
      show(protocol::ResourceChanged{resource});
    }
    showBookmark(listed.value().version);
    return std::nullopt;
  }

  /// Shows changes until the connection ends.
  /// @return why the watch can't go on, or nothing if another controller should be tried.
  Failure follow() {
    const auto response = client_.openWatch(kind_, from_);
    if (response.has_error()) {
      return response.error();
    }
    while (console_.out.good()) {
      const auto line = response.value()->readLine();
      const auto decoded = line.has_value() ? http::decodeWatchLine(line.value())
                                            : base::Result<http::WatchLine>(line.error());
      if (decoded.has_error()) {
        console_.error << "walnutctl: watch: " << base::errorCodeName(decoded.error().code)
                       << "; trying the next controller\n";
        client_.moveOn();
        return std::nullopt;
      }
      if (const auto* const error = std::get_if<ErrorBody>(&decoded.value())) {
        client_.moveOn();
        return error->retryable ? Failure() : Failure(*error);
      }
      take(decoded.value());
    }
    return std::nullopt;
  }

  void take(const http::WatchLine& line) {
    if (const auto* const change = std::get_if<protocol::Change>(&line)) {
      show(*change);
    } else if (const auto* const bookmark = std::get_if<http::WatchBookmark>(&line)) {
      showBookmark(bookmark->version);
    }
  }

  void show(const protocol::Change& change) {
    if (console_.format == OutputFormat::json) {
      console_.out << http::encodeWatchLine(change);
    } else if (const auto* const changed = std::get_if<protocol::ResourceChanged>(&change)) {
      const resource::Resource& resource = changed->resource;
      console_.out << "changed " << subjectOf(resource.key) << " version " << resource.version
                   << " " << engine::stringifyJson(http::encodeSpec(resource.spec)) << "\n";
    } else if (const auto* const deleted = std::get_if<protocol::ResourceDeleted>(&change)) {
      console_.out << "deleted " << subjectOf(deleted->key) << "\n";
    }
    console_.out.flush();
  }

  void showBookmark(resource::Version version) {
    const bool news = version > from_;
    from_ = std::max(from_, version);
    if (news && console_.format == OutputFormat::json) {
      console_.out << http::encodeWatchLine(http::WatchBookmark{from_}) << std::flush;
    }
  }

  ControllerClient& client_;
  Console& console_;
  std::optional<resource::Kind> kind_;
  resource::Version from_ = 0;
};

}  // namespace

ExitCode runWatch(const Invocation& invocation, ControllerClient& client, Console& console) {
  std::optional<resource::Kind> kind;
  if (!invocation.arguments.empty()) {
    kind = kindArgument(invocation.arguments[0], console);
    if (!kind) {
      return ExitCode::usage;
    }
  }
  return WatchFollower(client, console, kind).run(invocation.from);
}

}  // namespace walnut::cli
