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

/// Objects that all parts of the daemon share. They may be used from any
/// worker.
struct DaemonContext {
  const Settings &Config;
  WorkerPool &Workers;
  MetricsRegistry &Metrics;
  RpcClient &Rpc;
  SpanWriter *Spans = nullptr; ///< nullptr if tracing is off.

  const std::string &hostName() const { return this->Config.Host.Name; }
};

/// Trace span of one hop of a request; the destructor writes it.
class HopSpan {
public:
  /// \param Parent the traceparent of the previous hop.
  HopSpan(const DaemonContext &Context, const std::string &Parent,
          std::string Name);
  ~HopSpan();
  HopSpan(const HopSpan &) = delete;
  HopSpan &operator=(const HopSpan &) = delete;

  /// The traceparent to send to the next hop.
  std::string traceParent() const { return this->Hop.Context.format(); }

  /// Sets an attribute of the span.
  void set(const std::string &Attribute, std::string Value);

private:
  const DaemonContext &Context;
  std::chrono::steady_clock::time_point Start;
  Span Hop;
};

} // namespace lavenderdale
