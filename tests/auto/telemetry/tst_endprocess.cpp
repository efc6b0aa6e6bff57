#include "telemetry/logging.h"

#include <catch2/catch.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

using namespace lavenderdale;

namespace {

/// What a child process wrote to its standard output, and its exit code.
struct Ended {
  std::string Output;
  int Code = -1;
};

Ended runChild(void (*Body)()) {
  std::array<int, 2> Pipe{};
  REQUIRE(pipe(Pipe.data()) == 0);
  const pid_t Child = fork();
  REQUIRE(Child >= 0);
  if (Child == 0) {
    dup2(Pipe[1], STDOUT_FILENO);
    close(Pipe[0]);
    close(Pipe[1]);
    Body();
    std::_Exit(1);
  }
  close(Pipe[1]);
  Ended Result;
  std::array<char, 4096> Buffer{};
  for (ssize_t Size = 1; Size > 0;) {
    Size = read(Pipe[0], Buffer.data(), Buffer.size());
    if (Size > 0)
      Result.Output.append(Buffer.data(), static_cast<std::size_t>(Size));
  }
  close(Pipe[0]);
  int Status = 0;
  waitpid(Child, &Status, 0);
  if (WIFEXITED(Status))
    Result.Code = WEXITSTATUS(Status);
  return Result;
}

} // namespace

// Guards against a stopped daemon that is still there at the end of the grace
// period, because a static object waits for a thread, and against a last line
// that is lost.
TEST_CASE("a process ends without waiting for static objects",
          "[planned-stop]") {
  const Ended Result = runChild([] {
    constexpr unsigned Limit = 20; // Seconds; SIGALRM ends the child.
    alarm(Limit);
    std::atexit([] {
      while (true)
        pause();
    });
    startBoundedLogging("h1");
    logInfo("event=stopped");
    endProcess(3);
  });
  CHECK(Result.Code == 3);
  CHECK(Result.Output.find("event=stopped") != std::string::npos);
}
