#include "base/daemonarguments.h"
#include "server/daemon.h"
#include "settings/settings.h"
#include "telemetry/logging.h"

#include <csignal>
#include <iostream>
#include <pthread.h>
#include <string>

using namespace lavenderdale;

namespace {

// Exit codes, also listed by --help.
constexpr int ExitDone = 0;
constexpr int ExitSettings = 2;
constexpr int ExitStart = 3;
constexpr int ExitCutShort = 4;

constexpr auto Usage = R"(Usage: lavenderdaled --settings FILE [--check]

  -s, --settings FILE  TOML settings of this host
  -c, --check          check the settings and exit
  -h, --help           print this text
  -V, --version        print the version

SIGTERM and SIGINT stop the daemon as planned: requests and transactions end
first. Exit codes: 0 done, 1 usage, 2 invalid settings, 3 cannot start,
4 stopped at the limit with work in flight.
)";

// Blocked before threads start, so that only waitForStop() takes them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

int run(const Settings &Config) {
  const sigset_t Signals = blockStopSignals();
  // libcurl must not send calls between peers through a proxy.
  for (const char *Name :
       {"http_proxy", "HTTP_PROXY", "all_proxy", "ALL_PROXY"})
    unsetenv(Name);
  const Result<void> Logging =
      startLogging(Config.Log.File, Config.Log.Level, Config.Host.Name);
  if (!Logging) {
    std::cerr << Logging.error().Detail << '\n';
    return ExitSettings;
  }
  Daemon Process(Config);
  const Result<void> Started = Process.start();
  if (!Started) {
    std::cerr << "lavenderdaled: " << Started.error().Detail << '\n';
    return ExitStart;
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return Process.stop() ? ExitDone : ExitCutShort;
}

} // namespace

int main(int Count, char **Arguments) {
  int Exit = ExitDone;
  const auto Given =
      readDaemonArguments(Count, Arguments, Usage, "lavenderdaled", "", Exit);
  if (!Given)
    return Exit;
  const Result<Settings> Config = loadSettings(Given->SettingsFile);
  if (!Config) {
    std::cerr << Config.error().Detail << '\n';
    return ExitSettings;
  }
  if (Given->CheckOnly) {
    std::cout << Given->SettingsFile << ": valid\n";
    return ExitDone;
  }
  return run(Config.value());
}
