#include "http/process_probe.h"

namespace walnut::http {

bool handleProbe(Exchange& exchange, ProcessProbe& probe) {
  const bool isProbe =
      exchange.pathIs({"healthz"}) || exchange.pathIs({"readyz"}) || exchange.pathIs({"metrics"});
  if (isProbe && exchange.method() != "GET") {
    exchange.sendMethodNotAllowed("GET");
    return true;
  }
  if (exchange.pathIs({"healthz"})) {
    exchange.sendText(200, "text/plain", "ok\n");
    return true;
  }
  if (exchange.pathIs({"readyz"})) {
    const bool ready = probe.ready();
    exchange.sendText(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    return true;
  }
  if (exchange.pathIs({"metrics"})) {
    exchange.sendText(200, "text/plain; version=0.0.4", probe.metricsText());
    return true;
  }
  return false;
}

}  // namespace walnut::http
