#include "adminserver.h"

#include <charconv>
#include <csignal>
#include <cstring>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace lavenderdale::standin;

namespace {

constexpr auto Usage = R"(Usage: database-standin [options]
A stand-in for one PostgreSQL database, for tests.

  --address A             numeric address to listen on (default 127.0.0.1)
  --port N                port of the PostgreSQL protocol (default 0: any)
  --admin-port N          port of the HTTP interface (default 0: any)
  --name NAME             name in logs and in the primary's pg_stat_activity
  --primary-conninfo S    "host=H port=P" of the primary; empty: is a primary
  --connections N         client connections before SQLSTATE 53300
  --slots N               statements on tables served at once
  --service-time-us N     time that each statement occupies its slot
  --connect-delay-ms N    time to open a connection
  --receive-lag-ms N      lag of receiving at a replica
  --replay-lag-ms N       lag of replaying at a replica, after receiving
  --reload-delay-ms N     time until pg_reload_conf() takes effect
  --receiver-timeout-ms N silence after which a replica connects again
                          (wal_receiver_timeout)
  --init-sql FILE         statements to run first; the same for all databases
                          of a group, because they are not replicated
  --help                  print this text

Prints "ready port=N admin=M" when it listens. Stops at SIGTERM or SIGINT.
)";

template <typename Number>
Number readNumber(const char *Option, const char *Text, Number Min) {
  Number Value = 0;
  const char *End = Text + std::strlen(Text);
  const auto [Last, Failure] = std::from_chars(Text, End, Value);
  if (Failure != std::errc() || Last != End || Value < Min)
    throw std::runtime_error(std::string("--") + Option +
                             ": expected a whole number from " +
                             std::to_string(Min) + ", found " + Text);
  return Value;
}

std::string readFile(const char *Path) {
  std::ifstream Input(Path);
  std::ostringstream Text;
  Text << Input.rdbuf();
  if (!Input)
    throw std::runtime_error(std::string("cannot read ") + Path);
  return Text.str();
}

// Sets the option at an index of the table in readOptions().
void setOption(DatabaseOptions &Options, int Index, const char *Name) {
  DatabaseSettings &Settings = Options.Settings;
  const auto Milliseconds = [&] {
    return std::chrono::milliseconds(readNumber(Name, optarg, 0));
  };
  enum {
    Address,
    Port,
    AdminPort,
    OwnName,
    Primary,
    Connections,
    Slots,
    ServiceTime,
    ConnectDelay,
    ReceiveLag,
    ReplayLag,
    ReloadDelay,
    ReceiverTimeout,
    InitSql
  };
  switch (Index) {
  case Address:
    Options.Address = optarg;
    break;
  case Port:
    Options.Port = readNumber<std::uint16_t>(Name, optarg, 0);
    break;
  case AdminPort:
    Options.AdminPort = readNumber<std::uint16_t>(Name, optarg, 0);
    break;
  case OwnName:
    Options.Name = optarg;
    break;
  case Primary:
    Options.PrimaryConninfo = optarg;
    break;
  case Connections:
    Settings.Connections = readNumber(Name, optarg, 1U);
    break;
  case Slots:
    Settings.Slots = readNumber(Name, optarg, 1U);
    break;
  case ServiceTime:
    Settings.ServiceTime =
        std::chrono::microseconds(readNumber(Name, optarg, 0));
    break;
  case ConnectDelay:
    Settings.ConnectDelay = Milliseconds();
    break;
  case ReceiveLag:
    Settings.ReceiveLag = Milliseconds();
    break;
  case ReplayLag:
    Settings.ReplayLag = Milliseconds();
    break;
  case ReloadDelay:
    Settings.ReloadDelay = Milliseconds();
    break;
  case ReceiverTimeout:
    Settings.ReceiverTimeout = Milliseconds();
    break;
  case InitSql:
    Options.InitSql = readFile(optarg);
    break;
  default:
    break;
  }
}

// \returns whether the program goes on.
bool readOptions(int Count, char **Arguments, DatabaseOptions &Options) {
  static constexpr option Table[] = {
      {"address", required_argument, nullptr, 0},
      {"port", required_argument, nullptr, 0},
      {"admin-port", required_argument, nullptr, 0},
      {"name", required_argument, nullptr, 0},
      {"primary-conninfo", required_argument, nullptr, 0},
      {"connections", required_argument, nullptr, 0},
      {"slots", required_argument, nullptr, 0},
      {"service-time-us", required_argument, nullptr, 0},
      {"connect-delay-ms", required_argument, nullptr, 0},
      {"receive-lag-ms", required_argument, nullptr, 0},
      {"replay-lag-ms", required_argument, nullptr, 0},
      {"reload-delay-ms", required_argument, nullptr, 0},
      {"receiver-timeout-ms", required_argument, nullptr, 0},
      {"init-sql", required_argument, nullptr, 0},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0},
  };
  int Index = 0;
  for (int Found = 0;
       (Found = getopt_long(Count, Arguments, "h", Table, &Index)) != -1;) {
    if (Found == 'h') {
      std::cout << Usage;
      return false;
    }
    if (Found != 0)
      throw std::runtime_error("see --help");
    setOption(Options, Index, Table[Index].name);
  }
  if (optind < Count)
    throw std::runtime_error(std::string("unexpected argument ") +
                             Arguments[optind] + ", see --help");
  return true;
}

void run(const DatabaseOptions &Options) {
  // Blocked before any thread starts, so that only sigwait() takes them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  StandinDatabase Database(Options);
  const AdminServer Admin(Database, Options.Address, Options.AdminPort);
  std::cout << "ready port=" << Database.port() << " admin=" << Admin.port()
            << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    DatabaseOptions Options;
    if (readOptions(Count, Arguments, Options))
      run(Options);
    return 0;
  } catch (const std::exception &Failure) {
    std::cerr << "database-standin: " << Failure.what() << '\n';
    return 1;
  }
}
