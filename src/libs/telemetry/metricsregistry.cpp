#include "metricsregistry.h"

#include "base/softassert.h"
#include "redaction.h"

#include <sstream>

namespace lavenderdale {
namespace {

std::string escape(const std::string &Text) {
  std::string Escaped;
  for (const char Character : Text) {
    if (Character == '\n')
      Escaped += "\\n";
    else if (Character == '"' || Character == '\\')
      Escaped += std::string("\\") + Character;
    else
      Escaped += Character;
  }
  return Escaped;
}

// Text inside the braces, for example `class="urgent",route="orders"`.
std::string formatLabels(const Labels &LabelSet) {
  std::string Text;
  for (const auto &[Name, Value] : LabelSet)
    Text += (Text.empty() ? "" : ",") + Name + "=\"" +
            escape(detail::redactKeys(Value)) + '"';
  return Text;
}

std::string braced(const std::string &LabelText) {
  return LabelText.empty() ? std::string() : "{" + LabelText + "}";
}

template <typename Number>
void writeSeries(std::ostream &Out, const std::string &Name,
                 const std::string &LabelText, Number Value) {
  Out << Name << braced(LabelText) << ' ' << Value << '\n';
}

void writeMetric(std::ostream &Out, const std::string &Name,
                 const std::string &LabelText, const Counter &Metric) {
  writeSeries(Out, Name, LabelText, Metric.value());
}

void writeMetric(std::ostream &Out, const std::string &Name,
                 const std::string &LabelText, const Gauge &Metric) {
  writeSeries(Out, Name, LabelText, Metric.value());
}

void writeMetric(std::ostream &Out, const std::string &Name,
                 const std::string &LabelText, const LatencyHistogram &Metric) {
  const LatencyHistogram::Totals Totals = Metric.totals();
  const std::string Prefix = LabelText.empty() ? "" : LabelText + ",";
  for (std::size_t I = 0; I < Totals.UpperEdges.size(); ++I)
    Out << Name << "_bucket{" << Prefix << "le=\"" << Totals.UpperEdges[I]
        << "\"} " << Totals.Cumulative[I] << '\n';
  const std::uint64_t Count = Totals.Cumulative.back();
  Out << Name << "_bucket{" << Prefix << "le=\"+Inf\"} " << Count << '\n';
  writeSeries(Out, Name + "_sum", LabelText, Totals.SumSeconds);
  writeSeries(Out, Name + "_count", LabelText, Count);
}

template <typename FamiliesOfType>
void writeFamilies(std::ostream &Out, const char *Type,
                   const FamiliesOfType &Families) {
  for (const auto &[Name, Each] : Families) {
    Out << "# HELP " << Name << ' ' << Each.Help << '\n'
        << "# TYPE " << Name << ' ' << Type << '\n';
    for (const auto &[LabelText, Metric] : Each.Series)
      writeMetric(Out, Name, LabelText, *Metric);
  }
}

} // namespace

template <typename Metric> struct MetricsRegistry::Family {
  std::string Help;
  std::map<std::string, std::unique_ptr<Metric>> Series;
};

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

template <typename Metric>
Metric &MetricsRegistry::find(Families<Metric> &In, const std::string &Name,
                              const std::string &Help, const Labels &LabelSet) {
  std::string LabelText = formatLabels(LabelSet);
  const std::lock_guard Guard(this->Lock);
  const auto Uses = this->Counters.count(Name) + this->Gauges.count(Name) +
                    this->Histograms.count(Name);
  softAssert(Uses == In.count(Name), "a metric name has one type: " + Name);
  Family<Metric> &Own = In[Name];
  if (Own.Help.empty())
    Own.Help = detail::toLogLine(Help);
  if (Own.Series.size() >= MaxSeriesPerName && !Own.Series.contains(LabelText))
    LabelText = formatLabels({{"overflow", "true"}});
  std::unique_ptr<Metric> &Found = Own.Series[LabelText];
  if (!Found)
    Found = std::make_unique<Metric>();
  return *Found;
}

Counter &MetricsRegistry::counter(const std::string &Name,
                                  const std::string &Help,
                                  const Labels &LabelSet) {
  return this->find(this->Counters, Name, Help, LabelSet);
}

Gauge &MetricsRegistry::gauge(const std::string &Name, const std::string &Help,
                              const Labels &LabelSet) {
  return this->find(this->Gauges, Name, Help, LabelSet);
}

LatencyHistogram &MetricsRegistry::histogram(const std::string &Name,
                                             const std::string &Help,
                                             const Labels &LabelSet) {
  return this->find(this->Histograms, Name, Help, LabelSet);
}

std::string MetricsRegistry::exposition() const {
  std::ostringstream Out;
  const std::lock_guard Guard(this->Lock);
  writeFamilies(Out, "counter", this->Counters);
  writeFamilies(Out, "gauge", this->Gauges);
  writeFamilies(Out, "histogram", this->Histograms);
  return Out.str();
}

} // namespace lavenderdale
