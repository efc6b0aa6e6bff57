#include "link.h"

#include "common/adminserver.h"
#include "common/commandline.h"

#include <cstdlib>
#include <iostream>
#include <optional>
#include <vector>

using namespace lavenderdale::standins;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t MaxPort = 65535;

constexpr const char *Usage =
    "usage: fault-proxy [--listen PORT --target ADDR:PORT]\n"
    "  [--link NAME=LISTENPORT:ADDR:PORT]... [--admin-port PORT]\n"
    "Admin calls (JSON): GET /links, POST /fault {\"link\":NAME,\n"
    "  \"fault\":\"delay|cut|blackhole-old|blackhole|half-close|throttle|\n"
    "  reorder|clear\",\"direction\":\"up|down|both\",\"ms\":N,\"rate\":N,\n"
    "  \"accept\":bool}; without \"link\" all links are meant.\n"
    "\"clear\" leaves silenced connections silent unless \"revive\" is true.\n";

struct LinkOption {
  std::string Name;
  std::uint16_t Port = 0;
  tcp::endpoint Target;
};

std::optional<tcp::endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Address =
      boost::asio::ip::make_address(Text.substr(0, Colon), Error);
  const auto Port = parseNumber(Text.substr(Colon + 1), MaxPort);
  if (Error || !Port)
    return std::nullopt;
  return tcp::endpoint(Address, static_cast<std::uint16_t>(*Port));
}

std::optional<LinkOption> parseLink(const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  const std::size_t Colon = Text.find(':', Equals);
  if (Equals == std::string::npos || Colon == std::string::npos)
    return std::nullopt;
  const auto Port =
      parseNumber(Text.substr(Equals + 1, Colon - Equals - 1), MaxPort);
  const auto Target = parseEndpoint(Text.substr(Colon + 1));
  if (!Port || !Target)
    return std::nullopt;
  return LinkOption{Text.substr(0, Equals), static_cast<std::uint16_t>(*Port),
                    *Target};
}

std::optional<std::vector<LinkOption>> readLinks(const OptionValues &Values) {
  std::vector<LinkOption> Links;
  const std::string Target = lastValue(Values, "target", "");
  if (!Target.empty()) {
    const auto Default =
        parseLink("default=" + lastValue(Values, "listen", "0") + ":" + Target);
    if (!Default)
      return std::nullopt;
    Links.push_back(*Default);
  }
  for (const auto &[Name, Value] : Values) {
    if (Name != "link")
      continue;
    const auto Given = parseLink(Value);
    if (!Given)
      return std::nullopt;
    Links.push_back(*Given);
  }
  if (Links.empty())
    return std::nullopt;
  return Links;
}

using Links = std::vector<std::unique_ptr<Link>>;

AdminAnswer setFault(const Links &All, const Json::Value &Call) {
  AdminAnswer Answer;
  bool Found = false;
  for (const auto &Item : All) {
    if (Call.isObject() && Call["link"].isString() &&
        Call["link"].asString() != Item->name())
      continue;
    Found = true;
    const std::string Refusal = Item->apply(Call);
    if (Refusal.empty())
      continue;
    Answer.Status = 400;
    Answer.Body["error"] = Refusal;
  }
  if (!Found) {
    Answer.Status = 404;
    Answer.Body["error"] = "no such link";
  }
  return Answer;
}

AdminAnswer handleAdmin(const Links &All, const std::string &Method,
                        const std::string &Path, const Json::Value &Body) {
  if (Method == "POST" && Path == "/fault")
    return setFault(All, Body);
  AdminAnswer Answer;
  if (Method != "GET" || Path != "/links") {
    Answer.Status = 404;
    Answer.Body["error"] = "no such call";
    return Answer;
  }
  for (const auto &Item : All)
    Answer.Body[Item->name()] = Item->toJson();
  return Answer;
}

int runProxy(const std::vector<LinkOption> &Options, std::uint16_t AdminPort) {
  boost::asio::io_context Io(1);
  Links All;
  for (const LinkOption &Option : Options)
    All.push_back(std::make_unique<Link>(
        Option.Name, listenOnLoopback(Io, Option.Port), Option.Target));
  auto Admin = listenOnLoopback(Io, AdminPort);
  std::cout << "ready admin=" << Admin.local_endpoint().port();
  for (const auto &Item : All) {
    std::cout << " " << Item->name() << "=" << Item->port();
    Item->start();
  }
  std::cout << std::endl;
  stopOnSignal(Io);
  startAdminServer(std::move(Admin),
                   [&All](const std::string &Method, const std::string &Path,
                          const Json::Value &Body) {
                     return handleAdmin(All, Method, Path, Body);
                   });
  Io.run();
  // Suspended coroutines refer to the links, so that the process ends without
  // running their destructors.
  std::_Exit(0);
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Values = parseOptions(Count, Arguments,
                                   {"listen", "target", "link", "admin-port"});
  const auto Options = Values ? readLinks(*Values) : std::nullopt;
  const auto Admin =
      Values ? parseNumber(lastValue(*Values, "admin-port", "0"), MaxPort)
             : std::nullopt;
  if (!Options || !Admin) {
    std::cerr << Usage;
    return 1;
  }
  try {
    return runProxy(*Options, static_cast<std::uint16_t>(*Admin));
  } catch (const std::exception &Failure) {
    std::cerr << "fault-proxy: " << Failure.what() << '\n';
    return 1;
  }
}
