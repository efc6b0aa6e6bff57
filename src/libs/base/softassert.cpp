#include "softassert.h"

#include <atomic>
#include <iostream>

namespace lavenderdale {
namespace {

void writeToStderr(std::string_view What) {
  std::cerr << "soft assert failed: " << What << '\n';
}

std::atomic<std::uint64_t> Failures{0};
std::atomic<SoftAssertHandler> Handler{writeToStderr};

} // namespace

bool softAssert(bool Condition, std::string_view What) {
  if (Condition)
    return true;
  Failures.fetch_add(1, std::memory_order_relaxed);
  Handler.load()(What);
  return false;
}

std::uint64_t softAssertFailures() {
  return Failures.load(std::memory_order_relaxed);
}

void setSoftAssertHandler(SoftAssertHandler NewHandler) {
  Handler.store(NewHandler);
}

} // namespace lavenderdale
