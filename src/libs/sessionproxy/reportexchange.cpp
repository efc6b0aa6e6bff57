#include "reportexchange.h"

#include "base/strictjson.h"
#include "http/httpclient.h"
#include "http/resumewith.h"
#include "http/sleepuntil.h"
#include "telemetry/logging.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <set>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

} // namespace

ReportExchange::ReportExchange(const asio::any_io_executor &Executor,
                               ProxyState &State, const RecordDecoder &Decoder,
                               Endpoint Reports, Endpoint Internal,
                               std::string CataloguePath)
    : Executor(Executor), State(State), Decoder(Decoder),
      Reports(std::move(Reports)), Internal(std::move(Internal)),
      CataloguePath(std::move(CataloguePath)), Socket(Executor) {}

Result<void> ReportExchange::start() {
  error_code Failure;
  const auto Address = asio::ip::make_address(this->Reports.Address, Failure);
  if (!Failure)
    this->Socket.open(udp::v4(), Failure);
  if (!Failure)
    this->Socket.bind(udp::endpoint(Address, this->Reports.Port), Failure);
  if (!Failure)
    this->Socket.non_blocking(true, Failure);
  if (Failure)
    return failure(ErrorKind::Unavailable,
                   "cannot bind the UDP port for host reports: " +
                       Failure.message());
  asio::co_spawn(this->Executor, this->receive(), asio::detached);
  asio::co_spawn(this->Executor, this->sendLoop(), asio::detached);
  return success();
}

void ReportExchange::stop() {
  this->Stopped = true;
  error_code Ignored;
  this->Socket.close(Ignored);
}

void ReportExchange::leave() {
  this->Leaving = true;
  this->sendReports(0, 1);
}

asio::awaitable<void> ReportExchange::receive() {
  const std::shared_ptr<ReportExchange> Self = this->shared_from_this();
  while (!this->Stopped) {
    udp::endpoint From;
    error_code Failure;
    const std::size_t Size = co_await this->Socket.async_receive_from(
        asio::buffer(this->Buffer), From, resumeWith(Failure));
    if (this->Stopped)
      co_return;
    if (Failure) {
      logDebug("event=report_receive_failed error=\"" + Failure.message() +
               "\"");
      co_await sleepUntil(steadyNow() + reportInterval(1));
      continue;
    }
    const Result<HostReport> Report = decodeReport({this->Buffer.data(), Size});
    if (!Report) {
      logInfo("event=report_unreadable error=\"" + Report.error().Detail +
              "\"");
      continue;
    }
    this->State.applyReport(Report.value());
    if (Report.value().WantsAnswer)
      this->sendTo(Report.value().Host,
                   {From.address().to_string(), From.port()},
                   this->encodeOwnReport(false));
    this->fetchIfBehind(Report.value());
  }
}

asio::awaitable<void> ReportExchange::sendLoop() {
  const std::shared_ptr<ReportExchange> Self = this->shared_from_this();
  while (!this->Stopped) {
    const std::size_t Hosts = this->State.fleet().hosts().size() + 1;
    const std::size_t Parts = reportParts(Hosts);
    const Duration Pause = Duration(reportInterval(Hosts)) / Parts;
    for (std::size_t Part = 0; Part < Parts && !this->Stopped; ++Part) {
      this->sendReports(Part, Parts);
      this->State.applyFleet();
      co_await sleepUntil(steadyNow() + Pause);
    }
  }
}

std::string ReportExchange::encodeOwnReport(bool WantsAnswer) {
  HostReport Report = this->State.report(BootClock::now(), this->Leaving);
  Report.Address = toString(this->Reports);
  Report.Internal = toString(this->Internal);
  Report.WantsAnswer = WantsAnswer;
  return encodeReport(Report);
}

// Lost reports are not sent again; the next one replaces them.
void ReportExchange::sendTo(const std::string &Name, const Endpoint &Where,
                            const std::string &Bytes) {
  error_code Failure;
  const auto Address = asio::ip::make_address(Where.Address, Failure);
  if (Failure)
    return;
  this->Socket.send_to(asio::buffer(Bytes), udp::endpoint(Address, Where.Port),
                       0, Failure);
  if (Failure)
    logDebug("event=report_send_failed host=" + Name + " error=\"" +
             Failure.message() + "\"");
}

void ReportExchange::sendReports(std::size_t Part, std::size_t Parts) {
  const std::string Bytes = this->encodeOwnReport(false);
  const std::set<std::string> Urgent = this->State.promotersToTell(steadyNow());
  std::size_t Index = 0;
  for (const auto &[Name, Host] : this->State.fleet().hosts())
    if (Index++ % Parts == Part || Urgent.contains(Name))
      this->sendTo(Name, Host.Address, Bytes);
}

void ReportExchange::checkSuspectDomains() {
  for (const std::string &Domain : this->State.access().takeDomainsToCheck())
    if (this->CheckedDomains.insert(Domain).second)
      asio::co_spawn(this->Executor, this->checkPaths(Domain), asio::detached);
}

asio::awaitable<void> ReportExchange::checkPaths(std::string FailureDomain) {
  const std::shared_ptr<ReportExchange> Self = this->shared_from_this();
  const TimePoint Start = steadyNow();
  std::vector<std::string> Silent;
  for (int Try = 0; Try < PathCheckTries && !this->Stopped; ++Try) {
    Silent = this->State.access().silentHosts(
        FailureDomain, Start - ReportExchange::RecentContact);
    const std::string Bytes = this->encodeOwnReport(true);
    for (const std::string &Name : Silent) {
      const auto Host = this->State.fleet().hosts().find(Name);
      if (Host != this->State.fleet().hosts().end())
        this->sendTo(Name, Host->second.Address, Bytes);
    }
    co_await sleepUntil(steadyNow() + PathCheckTimeout);
  }
  Silent = this->State.access().silentHosts(
      FailureDomain, Start - ReportExchange::RecentContact);
  logInfo("event=paths_checked domain=" + FailureDomain +
          " silent_hosts=" + std::to_string(Silent.size()));
  for (const std::string &Name : Silent)
    this->State.access().hostFailed(Name);
  co_await sleepUntil(steadyNow() + PathCheckPause);
  this->CheckedDomains.erase(FailureDomain);
}

void ReportExchange::fetchIfBehind(const HostReport &Report) {
  const std::uint64_t OwnVersion =
      this->State.catalogue() ? this->State.catalogue()->Version : 0;
  const bool Due = this->Lag.reportReceived(Report.CatalogueVersion, OwnVersion,
                                            steadyNow());
  if (!Due || this->Fetching)
    return;
  const Result<Endpoint> From = parseEndpoint(Report.Internal);
  if (!From)
    return;
  this->Fetching = true;
  asio::co_spawn(this->Executor, this->fetch(From.value()), asio::detached);
}

asio::awaitable<void> ReportExchange::fetch(Endpoint From) {
  const std::shared_ptr<ReportExchange> Self = this->shared_from_this();
  const std::string Address = toString(From);
  HttpClient Client(this->Executor, From, IdleConnections::Reconnect);
  HttpRequest Request;
  Request.Method = "GET";
  Request.Target = this->CataloguePath;
  const Result<HttpResponse> Response = co_await Client.send(
      std::move(Request), steadyNow() + CatalogueFetchTimeout);
  this->Fetching = false;
  this->Lag.fetchEnded(steadyNow());
  if (!Response || Response.value().Status != 200) {
    logInfo("event=catalogue_fetch_failed host=" + Address);
    co_return;
  }
  const Result<Json::Value> Document = parseStrictJson(Response.value().Body);
  Result<SessionCatalogue> Decoded =
      Document ? this->Decoder.decodeCatalogue(Document.value())
               : Result<SessionCatalogue>(Document.error());
  if (!Decoded) {
    logWarn("event=catalogue_unreadable host=" + Address + " error=\"" +
            Decoded.error().Detail + "\"");
    co_return;
  }
  this->State.offerCatalogue(
      std::make_shared<const SessionCatalogue>(std::move(Decoded.value())),
      Address);
}

} // namespace lavenderdale
