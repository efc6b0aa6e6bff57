#include "spanwriter.h"

#include "base/strictjson.h"
#include "redaction.h"

namespace lavenderdale {
namespace {

Json::Value toJson(const Span &Each, const std::string &Host) {
  Json::Value Line(Json::objectValue);
  Line["traceId"] = Each.Context.traceId();
  Line["spanId"] = Each.Context.spanId();
  if (!Each.Context.parentId().empty())
    Line["parentId"] = Each.Context.parentId();
  Line["name"] = Each.Name;
  Line["host"] = Host;
  Line["startUnixNs"] = static_cast<Json::Int64>(
      std::chrono::nanoseconds(Each.Start.time_since_epoch()).count());
  Line["durationNs"] = static_cast<Json::Int64>(Each.Duration.count());
  Json::Value &Attributes = Line["attributes"] = Json::objectValue;
  for (const auto &[Name, Value] : Each.Attributes)
    Attributes[Name] = detail::redactKeys(Value);
  return Line;
}

} // namespace

Result<std::unique_ptr<SpanWriter>> SpanWriter::open(const std::string &Path,
                                                     std::string Host,
                                                     std::size_t BufferSpans) {
  std::ofstream File(Path, std::ios::app | std::ios::binary);
  if (!File)
    return failure(ErrorKind::InvalidSettings,
                   "the trace file cannot be opened: " + Path);
  return std::unique_ptr<SpanWriter>(
      new SpanWriter(std::move(File), std::move(Host), BufferSpans));
}

SpanWriter::SpanWriter(std::ofstream File, std::string Host,
                       std::size_t BufferSpans)
    : File(std::move(File)), Host(std::move(Host)), BufferSpans(BufferSpans),
      Thread([this] { this->run(); }) {}

SpanWriter::~SpanWriter() {
  {
    const std::lock_guard Guard(this->Lock);
    this->Stopping = true;
  }
  this->Changed.notify_one();
  this->Thread.join();
}

void SpanWriter::write(Span Finished) {
  if (!Finished.Context.isSampled())
    return;
  {
    const std::lock_guard Guard(this->Lock);
    if (this->Buffer.size() >= this->BufferSpans) {
      ++this->Dropped;
      return;
    }
    this->Buffer.push_back(std::move(Finished));
  }
  this->Changed.notify_one();
}

std::uint64_t SpanWriter::dropped() const {
  const std::lock_guard Guard(this->Lock);
  return this->Dropped;
}

void SpanWriter::run() {
  std::unique_lock Guard(this->Lock);
  while (true) {
    this->Changed.wait(
        Guard, [this] { return this->Stopping || !this->Buffer.empty(); });
    if (this->Buffer.empty())
      return;
    std::deque<Span> Batch;
    Batch.swap(this->Buffer);
    Guard.unlock();
    this->writeBatch(Batch);
    Guard.lock();
  }
}

void SpanWriter::writeBatch(const std::deque<Span> &Batch) {
  for (const Span &Each : Batch)
    this->File << writeCompactJson(toJson(Each, this->Host)) << '\n';
  this->File.flush();
  if (this->File)
    return;
  // How much of a failed batch reached the file is not known. All of it
  // counts as lost, and the next batch is tried again.
  this->File.clear();
  const std::lock_guard Guard(this->Lock);
  this->Dropped += Batch.size();
}

} // namespace lavenderdale
