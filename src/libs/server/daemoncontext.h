#pragma once

#include "http/workerpool.h"
#include "rpc/rpcclient.h"
#include "settings/settings.h"
#include "telemetry/metricsregistry.h"
#include "telemetry/spanwriter.h"
#include "telemetry/tracecontext.h"

#include <memory>
#include <string>

namespace lavenderdale {

/// What all parts of the daemon share. Each member is safe to use from any
/// worker.
struct DaemonContext {
  const Settings &Config;
  WorkerPool &Workers;
  MetricsRegistry &Metrics;
  RpcClient &Rpc;
  SpanWriter *Spans = nullptr; ///< nullptr when no spans are written.

  const std::string &hostName() const { return this->Config.Host.Name; }
};

/// Measures one hop of a request and writes its span at the end of its scope.
class HopSpan {
public:
  /// \param Parent the traceparent of the previous hop.
  HopSpan(const DaemonContext &Context, const std::string &Parent,
          std::string Name);
  ~HopSpan();
  HopSpan(const HopSpan &) = delete;
  HopSpan &operator=(const HopSpan &) = delete;

  /// The traceparent for the next hop.
  std::string traceParent() const { return this->Hop.Context.format(); }

  void set(const std::string &Attribute, std::string Value);

private:
  const DaemonContext &Context;
  std::chrono::steady_clock::time_point Start;
  Span Hop;
};

} // namespace lavenderdale
