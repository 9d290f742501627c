#include "cli/explain.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <fstream>
#include <functional>

#include "cli/table.h"
#include "engine/json_fields.h"
#include "explain/loss_account.h"
#include "explain/request_story.h"

namespace walnut::cli {

using base::Error;
using base::ErrorCode;
using base::Result;
using explain::LogLine;
using runtime::ExitCode;

namespace {

/// Rows of the account that are shown as a table; JSON has all.
constexpr std::size_t kMostRows = 40;

struct LinesRead {
  std::uint64_t lines = 0;
  std::uint64_t skipped = 0;  ///< That are no lines of the decision log, or were cut short.
};

Result<LinesRead> readLines(const std::string& path,
                            const std::function<void(const LogLine&)>& take) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorCode::fileError, path, "can't be read"};
  }
  LinesRead read;
  for (std::string text; std::getline(file, text);) {
    const bool cutShort = file.eof();  // Without its end of line.
    const auto line = explain::parseLogLine(cutShort ? std::string_view() : text);
    ++(line.has_value() ? read.lines : read.skipped);
    if (line.has_value()) {
      take(line.value());
    }
  }
  if (read.lines == 0) {
    return Error{ErrorCode::malformedInput, path, "has no line of the decision log"};
  }
  return read;
}

/// @return lines that were passed over, of all files.
Result<std::uint64_t> readFiles(const Invocation& invocation,
                                const std::function<void(const LogLine&)>& take) {
  std::uint64_t skipped = 0;
  for (const std::string& path : invocation.arguments) {
    BOOST_OUTCOME_TRY(read, readLines(path, take));
    skipped += read.skipped;
  }
  return skipped;
}

ExitCode refuse(Console& console, const Error& error) {
  http::ErrorBody body;
  body.error = error;
  (void)reportError(console, "", body);
  return ExitCode::usage;
}

void tellSkipped(Console& console, std::uint64_t skipped) {
  if (skipped > 0) {
    console.error << "walnutctl: " << skipped << " lines passed over: cut short, or of no log\n";
  }
}

ExitCode explainRequest(const Invocation& invocation, Console& console) {
  explain::RequestStory story(*invocation.request);
  const auto first = readFiles(invocation, [&story](const LogLine& line) { story.takeOwn(line); });
  if (first.has_error()) {
    return refuse(console, first.error());
  }
  tellSkipped(console, first.value());
  if (!story.found()) {
    console.error << "walnutctl: no line names request " << *invocation.request << "\n";
    return ExitCode::notFound;
  }
  const auto second =
      readFiles(invocation, [&story](const LogLine& line) { story.takeBelief(line); });
  if (second.has_error()) {
    return refuse(console, second.error());
  }
  for (const LogLine& line : story.lines()) {
    console.out << line.text << "\n";
  }
  return ExitCode::ok;
}

void writeAccount(Console& console, const explain::LossAccount& account,
                  const std::vector<explain::Loss>& losses) {
  std::vector<Row> rows;
  for (const explain::Loss& loss : losses) {
    if (rows.size() == kMostRows) {
      break;
    }
    rows.push_back({std::to_string(loss.requests), std::string(lossKindName(loss.kind)),
                    std::string(lossCauseName(loss.cause)), loss.route, loss.model,
                    std::to_string(loss.waitedMillis), loss.example});
  }
  console.out << account.requests() << " requests, " << account.droppedLines()
              << " lines dropped by their processes\n";
  writeTable(console.out, {"REQUESTS", "KIND", "CAUSE", "ROUTE", "MODEL", "WAITED-MS", "EXAMPLE"},
             rows);
  if (losses.size() > rows.size()) {
    console.out << losses.size() - rows.size() << " more rows: --output json\n";
  }
}

void writeAccountJson(Console& console, const explain::LossAccount& account,
                      const std::vector<explain::Loss>& losses) {
  Poco::JSON::Array rows;
  for (const explain::Loss& loss : losses) {
    Poco::JSON::Object row;
    row.set("requests", loss.requests);
    row.set("kind", std::string(lossKindName(loss.kind)));
    row.set("cause", std::string(lossCauseName(loss.cause)));
    row.set("route", loss.route);
    row.set("model", loss.model);
    row.set("waited_ms", loss.waitedMillis);
    row.set("example", loss.example);
    rows.add(row);
  }
  Poco::JSON::Object object;
  object.set("requests", account.requests());
  object.set("dropped_lines", account.droppedLines());
  object.set("losses", rows);
  console.out << engine::stringifyJson(object) << "\n";
}

ExitCode explainLosses(const Invocation& invocation, Console& console) {
  explain::LossAccount account;
  const auto read = readFiles(invocation, [&account](const LogLine& line) { account.take(line); });
  if (read.has_error()) {
    return refuse(console, read.error());
  }
  tellSkipped(console, read.value());
  const std::vector<explain::Loss> losses = account.losses();
  if (console.format == OutputFormat::json) {
    writeAccountJson(console, account, losses);
  } else {
    writeAccount(console, account, losses);
  }
  return ExitCode::ok;
}

}  // namespace

ExitCode runExplain(const Invocation& invocation, Console& console) {
  return invocation.losses ? explainLosses(invocation, console)
                           : explainRequest(invocation, console);
}

}  // namespace walnut::cli
