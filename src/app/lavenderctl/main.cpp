#include "commandline.h"
#include "completion.h"

#include "administration/administrator.h"
#include "administration/objectfiles.h"
#include "base/strictjson.h"

#include <charconv>
#include <iostream>

using namespace lavenderdale;

namespace {

std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  boost::system::error_code Invalid;
  const auto Address =
      boost::asio::ip::make_address(Text.substr(0, Colon), Invalid);
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Invalid || Parsed.ec != std::errc() || Parsed.ptr != End || Port == 0)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(Address, Port);
}

Report usageReport(const std::string &What) {
  Report Outcome;
  Outcome.Code = ExitCode::Usage;
  Outcome.Text = What + "; see --help\n";
  Outcome.Data["error"]["kind"] = "usage";
  Outcome.Data["error"]["detail"] = What;
  return Outcome;
}

Report runFiles(Administrator &Admin, const CommandLine &Line) {
  const auto Desired = readObjectFiles(Line.Words[1]);
  if (!Desired)
    return failureReport(Desired.error());
  const MissingObjects Missing =
      Line.Prune ? MissingObjects::Delete : MissingObjects::Keep;
  if (Line.Words[0] == "plan")
    return Admin.plan(Desired.value(), Missing);
  return Admin.apply(Desired.value(), Missing, Line.Wait);
}

Report runGet(Administrator &Admin, const CommandLine &Line) {
  if (Line.Words.size() == 1)
    return Admin.get(std::nullopt, "");
  const auto Kind = objectKindFromName(Line.Words[1]);
  if (!Kind)
    return usageReport("unknown kind \"" + Line.Words[1] + "\"");
  return Admin.get(Kind, Line.Words.size() > 2 ? Line.Words[2] : "");
}

Report runKeys(Administrator &Admin, const CommandLine &Line) {
  const std::string &Action = Line.Words[1];
  const std::size_t Size = Line.Words.size();
  if (Action == "list" && Size == 2)
    return Admin.listKeys();
  if (Action == "grant" && Size == 3 && isObjectName(Line.Words[2]))
    return Admin.grantKey(Line.Words[2]);
  if (Action == "withdraw" && Size == 3 && isObjectName(Line.Words[2]))
    return Admin.withdrawKey(Line.Words[2], Line.Wait);
  return usageReport(
      "expected keys grant WORKSPACE, keys withdraw ID or keys list");
}

Report runSecrets(Administrator &Admin, const CommandLine &Line) {
  if (Line.Words.size() == 2 && Line.Words[1] == "create")
    return Admin.createSecret(std::chrono::system_clock::now());
  if (Line.Words.size() == 2 && Line.Words[1] == "list")
    return Admin.listSecrets();
  return usageReport("expected secrets create or secrets list");
}

Report runGroups(Administrator &Admin, const CommandLine &Line) {
  if (Line.Words.size() == 3 && Line.Words[1] == "init" &&
      isObjectName(Line.Words[2]) && !Line.Primary.empty())
    return Admin.initGroup(Line.Words[2], Line.Primary, Line.Term);
  return usageReport("expected groups init NAME --primary UPSTREAM [--term N]");
}

Report runCommand(const CommandLine &Line) {
  const auto Platform = parseEndpoint(Line.Platform);
  if (!Platform)
    return usageReport("--platform: expected ADDR:PORT, found \"" +
                       Line.Platform + "\"");
  if (Line.Words.empty())
    return usageReport("no command");
  Administrator Admin(*Platform, steadyNow() + Line.Timeout);
  const std::string &Command = Line.Words[0];
  const std::size_t Size = Line.Words.size();
  if ((Command == "plan" || Command == "apply") && Size == 2)
    return runFiles(Admin, Line);
  if (Command == "get" && Size <= 3)
    return runGet(Admin, Line);
  if (Command == "keys" && Size >= 2)
    return runKeys(Admin, Line);
  if (Command == "secrets" && Size >= 2)
    return runSecrets(Admin, Line);
  if (Command == "groups" && Size >= 2)
    return runGroups(Admin, Line);
  if (Command == "status" && Size == 1)
    return Admin.status();
  if (Command == "explain" && Size == 2)
    return Admin.explain(
        {Line.Words[1], Line.KeyId, Line.ReadOnly, Line.MaxAge});
  return usageReport("unknown command or wrong number of arguments");
}

bool isFailure(const Report &Outcome) { return Outcome.Code != ExitCode::Done; }

} // namespace

int main(int Count, char **Arguments) {
  const std::optional<CommandLine> Line = parseCommandLine(Count, Arguments);
  if (!Line)
    return static_cast<int>(ExitCode::Usage);
  if (Line->Help) {
    std::cout << helpText();
    return 0;
  }
  if (Line->Words == std::vector<std::string>{"completion", "bash"}) {
    std::cout << bashCompletion();
    return 0;
  }
  const Report Outcome = runCommand(*Line);
  if (Line->Json)
    std::cout << writeCompactJson(Outcome.Data) << '\n';
  else
    (isFailure(Outcome) ? std::cerr : std::cout) << Outcome.Text;
  return static_cast<int>(Outcome.Code);
}
