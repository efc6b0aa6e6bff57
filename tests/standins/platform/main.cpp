#include "apisession.h"

#include "base/strictjson.h"
#include "common/adminserver.h"
#include "common/commandline.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace lavenderdale;
using namespace lavenderdale::standins;

namespace {

constexpr std::uint64_t MaxPort = 65535;
constexpr std::uint64_t MaxRate = 1000000;
constexpr std::uint64_t MaxHistory = 1000000;
constexpr std::uint64_t MaxDelayMs = 600000;

constexpr const char *Usage =
    "usage: platform-standin [--port N] [--admin-port N] [--load DIR_OR_FILE]\n"
    "  [--writes-per-second 400] [--reads-per-second 2000] [--history 10000]\n"
    "Admin calls (JSON): POST /outage "
    "{\"on\":bool,\"mode\":\"closed|silent\"},\n"
    "  POST /slow {\"ms\":N}, POST /lose-answers {\"count\":N,\"verb\":V},\n"
    "  POST /counters/reset, GET /counters, GET /objects\n";

struct Numbers {
  std::uint64_t Port = 0;
  std::uint64_t AdminPort = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Reads = 0;
  std::uint64_t History = 0;
};

std::optional<Numbers> readNumbers(const OptionValues &Values) {
  const auto Port = parseNumber(lastValue(Values, "port", "0"), MaxPort);
  const auto Admin = parseNumber(lastValue(Values, "admin-port", "0"), MaxPort);
  const auto Writes =
      parseNumber(lastValue(Values, "writes-per-second", "400"), MaxRate);
  const auto Reads =
      parseNumber(lastValue(Values, "reads-per-second", "2000"), MaxRate);
  const auto History =
      parseNumber(lastValue(Values, "history", "10000"), MaxHistory);
  if (!Port || !Admin || !Writes || !Reads || !History)
    return std::nullopt;
  return Numbers{*Port, *Admin, *Writes, *Reads, *History};
}

/// Plural of a kind: the lowercase name with an "s".
std::string pluralOf(std::string Kind) {
  std::transform(Kind.begin(), Kind.end(), Kind.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Kind + "s";
}

bool loadObject(ObjectStore &Store, const Json::Value &Object,
                const std::string &Source) {
  const bool HasKind = Object.isObject() && Object["kind"].isString();
  Json::Value Stored = Object;
  if (HasKind && Stored["metadata"].isObject())
    Stored["metadata"].removeMember("resourceVersion");
  const ApiAnswer Answer =
      HasKind ? Store.create(pluralOf(Object["kind"].asString()), Stored)
              : apiFailure(422, "Invalid", "kind is required");
  if (Answer.Status < 300)
    return true;
  std::cerr << Source << ": " << Answer.Body["message"].asString() << '\n';
  return false;
}

bool loadFile(ObjectStore &Store, const std::filesystem::path &File) {
  std::ifstream Stream(File);
  const std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  const Result<Json::Value> Parsed = parseStrictJson(Text);
  if (!Stream || !Parsed) {
    std::cerr << File.string() << ": cannot be read as JSON\n";
    return false;
  }
  const Json::Value &Root = Parsed.value();
  const bool IsList = Root.isObject() && Root["items"].isArray();
  const Json::Value &Items = IsList ? Root["items"] : Root;
  if (!Items.isArray())
    return loadObject(Store, Root, File.string());
  return std::all_of(Items.begin(), Items.end(), [&](const Json::Value &Item) {
    return loadObject(Store, Item, File.string());
  });
}

bool load(ObjectStore &Store, const std::string &Path) {
  if (Path.empty())
    return true;
  if (!std::filesystem::is_directory(Path))
    return loadFile(Store, Path);
  std::vector<std::filesystem::path> Files;
  for (const auto &Item : std::filesystem::directory_iterator(Path))
    if (Item.path().extension() == ".json")
      Files.push_back(Item.path());
  std::sort(Files.begin(), Files.end());
  return std::all_of(Files.begin(), Files.end(),
                     [&](const auto &File) { return loadFile(Store, File); });
}

AdminAnswer refusal(const std::string &Expected) {
  AdminAnswer Answer{400};
  Answer.Body["error"] = Expected;
  return Answer;
}

AdminAnswer setOutage(Platform &Shared, const Json::Value &Body) {
  if (!Body.isObject() || !Body["on"].isBool())
    return refusal("expected {\"on\":bool}");
  const bool Silent = Body["mode"] == Json::Value("silent");
  Shared.Fault.Outage = !Body["on"].asBool() ? OutageMode::Off
                        : Silent             ? OutageMode::Silent
                                             : OutageMode::Closed;
  if (Shared.Fault.Outage == OutageMode::Closed)
    Shared.closeConnections();
  Shared.wakeWatches();
  return {};
}

AdminAnswer setDelay(Platform &Shared, const Json::Value &Body) {
  if (!Body.isObject() || !Body["ms"].isUInt64() ||
      Body["ms"].asUInt64() > MaxDelayMs)
    return refusal("expected {\"ms\":N}");
  Shared.Fault.Delay = std::chrono::milliseconds(Body["ms"].asUInt64());
  return {};
}

AdminAnswer loseAnswers(Platform &Shared, const Json::Value &Body) {
  if (!Body.isObject() || !Body["count"].isUInt() ||
      !(Body["verb"].isNull() || Body["verb"].isString()))
    return refusal("expected {\"count\":N,\"verb\":V}");
  Shared.Fault.LostAnswers = Body["count"].asUInt();
  Shared.Fault.LostVerb = Body["verb"].asString();
  return {};
}

AdminAnswer handleAdmin(Platform &Shared, const std::string &Method,
                        const std::string &Path, const Json::Value &Body) {
  const std::string Call = Method + " " + Path;
  if (Call == "POST /outage")
    return setOutage(Shared, Body);
  if (Call == "POST /slow")
    return setDelay(Shared, Body);
  if (Call == "POST /lose-answers")
    return loseAnswers(Shared, Body);
  if (Call == "POST /counters/reset") {
    Shared.Counter.reset();
    return {};
  }
  if (Call == "GET /counters")
    return {200, Shared.Counter.toJson()};
  if (Call == "GET /objects")
    return {200, Shared.Store.list("").Body};
  AdminAnswer Unknown = refusal("no such call");
  Unknown.Status = 404;
  return Unknown;
}

int runStandin(const Numbers &Given, const std::string &LoadPath) {
  boost::asio::io_context Io(1);
  const auto Now = std::chrono::steady_clock::now();
  Platform Shared{ObjectStore(Given.History),
                  CallCounter(static_cast<double>(Given.Writes),
                              static_cast<double>(Given.Reads), Now),
                  {},
                  {},
                  {}};
  if (!load(Shared.Store, LoadPath))
    return 1;
  auto Api = listenOnLoopback(Io, static_cast<std::uint16_t>(Given.Port));
  auto Admin =
      listenOnLoopback(Io, static_cast<std::uint16_t>(Given.AdminPort));
  std::cout << "ready port=" << Api.local_endpoint().port()
            << " admin=" << Admin.local_endpoint().port() << std::endl;
  stopOnSignal(Io);
  startApi(std::move(Api), Shared);
  startAdminServer(std::move(Admin),
                   [&Shared](const std::string &Method, const std::string &Path,
                             const Json::Value &Body) {
                     return handleAdmin(Shared, Method, Path, Body);
                   });
  Io.run();
  // Coroutines that are still suspended refer to Shared, so that the process
  // ends without running their destructors.
  std::cout.flush();
  std::_Exit(0);
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Values = parseOptions(Count, Arguments,
                                   {"port", "admin-port", "load", "history",
                                    "writes-per-second", "reads-per-second"});
  const auto Given = Values ? readNumbers(*Values) : std::nullopt;
  if (!Given) {
    std::cerr << Usage;
    return 1;
  }
  try {
    return runStandin(*Given, lastValue(*Values, "load", ""));
  } catch (const std::exception &Failure) {
    std::cerr << "platform-standin: " << Failure.what() << '\n';
    return 1;
  }
}
