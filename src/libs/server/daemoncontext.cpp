#include "daemoncontext.h"

#include <random>

namespace lavenderdale {
namespace {

std::mt19937_64 &traceRandom() {
  thread_local std::mt19937_64 Generator{std::random_device{}()};
  return Generator;
}

} // namespace

HopSpan::HopSpan(const DaemonContext &Context, const std::string &Parent,
                 std::string Name)
    : Context(Context), Start(steadyNow()) {
  this->Hop.Context =
      TraceContext::accept(Parent, traceRandom(), Context.Config.Traces.Sample);
  this->Hop.Name = std::move(Name);
  this->Hop.Start = std::chrono::system_clock::now();
}

HopSpan::~HopSpan() {
  if (!this->Context.Spans)
    return;
  this->Hop.Duration = steadyNow() - this->Start;
  this->Context.Spans->write(std::move(this->Hop));
}

void HopSpan::set(const std::string &Attribute, std::string Value) {
  this->Hop.Attributes[Attribute] = std::move(Value);
}

} // namespace lavenderdale
