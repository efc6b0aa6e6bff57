#include "boundedappender.h"

#include "base/timepoint.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <fcntl.h>
#include <sstream>
#include <unistd.h>

namespace lavenderdale::detail {

BoundedAppender::BoundedAppender(int Descriptor) : Descriptor(Descriptor) {
  const int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

BoundedAppender::~BoundedAppender() { this->destructorImpl(); }

void BoundedAppender::close() {
  this->flush();
  this->closed = true;
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &Event) {
  if (!this->takeBudget(steadyNow()) || this->Buffer.size() >= MaxBufferBytes) {
    ++this->Dropped;
    return;
  }
  std::ostringstream Line;
  this->layout->formatAndAppend(Line, Event);
  if (this->Dropped != this->DroppedReported) {
    this->Buffer += "event=log_lines_dropped lines=" +
                    std::to_string(this->Dropped - this->DroppedReported) +
                    "\n";
    this->DroppedReported = this->Dropped;
  }
  this->Buffer += Line.str();
  this->flush();
}

bool BoundedAppender::takeBudget(std::chrono::steady_clock::time_point Now) {
  if (Now >= this->SecondEnds) {
    this->SecondEnds = Now + std::chrono::seconds(1);
    this->LinesInSecond = 0;
  }
  return ++this->LinesInSecond <= MaxLinesPerSecond;
}

// What the reader does not take now stays in the buffer until the next line.
void BoundedAppender::flush() {
  while (!this->Buffer.empty()) {
    const ssize_t Size =
        write(this->Descriptor, this->Buffer.data(), this->Buffer.size());
    if (Size <= 0)
      return;
    this->Buffer.erase(0, static_cast<std::size_t>(Size));
  }
}

} // namespace lavenderdale::detail
