#include "rehearsal/call_summary.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

#include <algorithm>
#include <cmath>

#include "http/json_object.h"
#include "rehearsal/http_client.h"

namespace walnut::rehearsal {

namespace {

constexpr std::size_t kShownFailures = 20;

std::uint64_t runsAt(const base::Endpoint& engine, const std::string& prompt) {
  HttpCall call;
  call.server = engine;
  std::string encoded;
  Poco::URI::encode(prompt, "?#&%+=", encoded);
  call.path = "/kit/runs?prompt=" + encoded;
  const auto reply = httpCall(call);
  if (!reply || reply.value().status != 200) {
    return 0;
  }
  const auto body = http::JsonObject::parse(reply.value().body);
  if (!body) {
    return 0;
  }
  const auto count = body.value().requiredInteger("count");
  return count ? count.value() : 0;
}

bool deniesExecution(const CallEnding& ending) {
  return ending.verdict == Verdict::refused &&
         ending.result.transcript.refusal->executed == routing::Executed::no;
}

Poco::JSON::Object latencies(const std::vector<base::Duration>& values) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("count", values.size());
  object.set("p50_ms", toMillis(percentile(values, 0.5)));
  object.set("p95_ms", toMillis(percentile(values, 0.95)));
  object.set("p99_ms", toMillis(percentile(values, 0.99)));
  object.set("worst_ms", toMillis(percentile(values, 1.0)));
  return object;
}

std::string describeFailure(const CallEnding& ending) {
  std::string text = std::string(verdictName(ending.verdict)) + " router " +
                     std::to_string(ending.call.router) + " target " + ending.call.intent.target +
                     " prompt '" + ending.call.intent.prompt + "' after " +
                     std::to_string(ending.result.transcript.pieces.size()) + " pieces";
  if (ending.result.transcript.failure) {
    text += ": " + ending.result.transcript.failure->detail;
  }
  return text;
}

struct Tally {
  std::map<std::string, std::uint64_t> verdicts;
  std::map<std::string, std::uint64_t> refusals;      ///< Of requests that may be repeated.
  std::map<std::string, std::uint64_t> onceRefusals;  ///< Of those that may not.
  std::map<std::string, std::uint64_t> cutByRouter;
  std::vector<base::Duration> firstToken;  ///< Of streams.
  std::vector<base::Duration> total;
  std::vector<base::Duration> coldTotal;  ///< Of plain answers: only these are marked as cold.
  Poco::JSON::Array failures;

  void add(const CallEnding& ending) {
    ++verdicts[verdictName(ending.verdict)];
    if (ending.verdict == Verdict::answered) {
      total.push_back(ending.result.total);
      if (ending.call.intent.stream) {
        firstToken.push_back(ending.result.firstToken);
      } else if (ending.result.cold) {
        coldTotal.push_back(ending.result.total);
      }
      return;
    }
    if (ending.verdict == Verdict::refused) {
      const bool once = !ending.call.intent.idempotencyKey.empty();
      const char* code = base::errorCodeName(ending.result.transcript.refusal->error.code);
      ++(once ? onceRefusals : refusals)[code];
      return;
    }
    if (ending.verdict == Verdict::cut) {
      ++cutByRouter[std::to_string(ending.call.router)];
    }
    if (failures.size() < kShownFailures) {
      failures.add(describeFailure(ending));
    }
  }
};

Poco::JSON::Object countsOf(const std::map<std::string, std::uint64_t>& counts) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const auto& [name, count] : counts) {
    object.set(name, count);
  }
  return object;
}

}  // namespace

double toMillis(base::Duration duration) {
  constexpr double kHundredthsPerMicro = 0.1;
  constexpr double kHundredths = 100.0;
  return std::round(static_cast<double>(duration.count()) * kHundredthsPerMicro) / kHundredths;
}

base::Duration percentile(std::vector<base::Duration> values, double fraction) {
  if (values.empty()) {
    return base::Duration(0);
  }
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(fraction * static_cast<double>(values.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return values[std::min(index, values.size() - 1)];
}

ExecutionCheck checkExecution(const std::vector<CallEnding>& endings,
                              const std::vector<base::Endpoint>& engines) {
  ExecutionCheck check;
  for (const CallEnding& ending : endings) {
    const bool once = !ending.call.intent.idempotencyKey.empty();
    const bool denied = deniesExecution(ending);
    if (!once && !denied) {
      continue;
    }
    ++check.checked;
    std::uint64_t runs = 0;
    for (const base::Endpoint& engine : engines) {
      runs += runsAt(engine, ending.call.intent.prompt);
    }
    check.ranThoughDenied += denied && runs > 0 ? 1 : 0;
    check.ranTwice += once && runs > 1 ? 1 : 0;
  }
  return check;
}

Poco::JSON::Object summarize(const std::vector<CallEnding>& endings) {
  Tally tally;
  for (const CallEnding& ending : endings) {
    tally.add(ending);
  }
  Poco::JSON::Object summary(Poco::JSON_PRESERVE_KEY_ORDER);
  summary.set("issued", endings.size());
  for (const Verdict verdict :
       {Verdict::answered, Verdict::refused, Verdict::wrong, Verdict::cut, Verdict::unreachable}) {
    summary.set(verdictName(verdict), tally.verdicts[verdictName(verdict)]);
  }
  summary.set("refused_by_code", countsOf(tally.refusals));
  summary.set("once_refused_by_code", countsOf(tally.onceRefusals));
  summary.set("cut_by_router", countsOf(tally.cutByRouter));
  summary.set("first_token_of_streams", latencies(tally.firstToken));
  summary.set("total", latencies(tally.total));
  summary.set("total_of_cold_plain", latencies(tally.coldTotal));
  summary.set("failures", tally.failures);
  return summary;
}

}  // namespace walnut::rehearsal
