#include "executor.h"

#include "base/strictjson.h"
#include "http/runon.h"

#include <boost/asio/this_coro.hpp>

#include <charconv>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr auto TransactionHeader = "Lavenderdale-Transaction";
constexpr auto RoleHeader = "Lavenderdale-Served-By";
constexpr auto TermHeader = "Lavenderdale-Term";
constexpr auto LogHeader = "Lavenderdale-Log";
constexpr auto OutcomeHeader = "Lavenderdale-Attempt";

std::optional<std::uint64_t> unsignedField(const HttpResponse &Response,
                                           const char *Name) {
  const std::string *Text = Response.Fields.find(Name);
  std::uint64_t Value = 0;
  if (!Text)
    return std::nullopt;
  const auto [End, Status] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  if (Status != std::errc() || End != Text->data() + Text->size())
    return std::nullopt;
  return Value;
}

HttpResponse toHttpResponse(ExecutionResult Result) {
  if (!Result.Answer) {
    HttpResponse Response = problemResponse(Result.Failure.Reason);
    Response.Fields.add(OutcomeHeader, std::to_string(static_cast<int>(
                                           Result.Failure.Outcome)));
    return Response;
  }
  ExecutionAnswer &Answer = *Result.Answer;
  HttpResponse Response;
  Response.Body = std::move(Answer.Body);
  Response.Fields.add(
      RoleHeader, Answer.Role == UpstreamRole::Replica ? "replica" : "primary");
  if (!Answer.Transaction.empty())
    Response.Fields.add(TransactionHeader, Answer.Transaction);
  if (Answer.Reached) {
    Response.Fields.add(TermHeader,
                        std::to_string(Answer.Reached->InTerm.Value));
    Response.Fields.add(LogHeader, std::to_string(Answer.Reached->Log.Value));
  }
  return Response;
}

ExecutionResult fromHttpResponse(HttpResponse Response) {
  if (Response.Status != 200) {
    const auto Outcome = unsignedField(Response, OutcomeHeader);
    // Without the header the statement may or may not have been run.
    return ExecutionResult::failed(errorFromResponse(Response),
                                   Outcome && *Outcome < AttemptOutcomeCount
                                       ? static_cast<AttemptOutcome>(*Outcome)
                                       : AttemptOutcome::AnswerLost);
  }
  ExecutionAnswer Answer;
  Answer.Body = std::move(Response.Body);
  const std::string *Role = Response.Fields.find(RoleHeader);
  Answer.Role = Role && *Role == "replica" ? UpstreamRole::Replica
                                           : UpstreamRole::Primary;
  if (const std::string *Id = Response.Fields.find(TransactionHeader))
    Answer.Transaction = *Id;
  const auto InTerm = unsignedField(Response, TermHeader);
  const auto Log = unsignedField(Response, LogHeader);
  if (InTerm && Log)
    Answer.Reached = Position{Term{*InTerm}, LogPosition{*Log}};
  return ExecutionResult::answered(std::move(Answer));
}

} // namespace

Executor::Executor(const DaemonContext &Context, const GroupServices &Groups,
                   FleetSource Fleet)
    : Context(Context), Groups(Groups), Fleet(std::move(Fleet)),
      Clients(Context.Workers.size()) {}

asio::awaitable<ExecutionResult> Executor::execute(std::string Host,
                                                   ExecutionRequest Request) {
  if (Host == this->Context.hostName())
    co_return co_await this->executeLocally(std::move(Request));
  const FleetPointer View = this->Fleet();
  const FleetView::Member *Peer = View->find(Host);
  if (!Peer)
    co_return ExecutionResult::failed(ErrorKind::Unavailable,
                                      "host " + Host +
                                          " is not a member of the fleet",
                                      AttemptOutcome::NotSent);
  co_return co_await this->forward(Peer->Peer, std::move(Request));
}

asio::awaitable<ExecutionResult>
Executor::executeLocally(ExecutionRequest Request) {
  const std::shared_ptr<GroupService> Service =
      this->Groups.find(Request.Group);
  if (!Service)
    co_return ExecutionResult::failed(ErrorKind::Unavailable,
                                      "this host does not serve group " +
                                          Request.Group,
                                      AttemptOutcome::RefusedBeforeRun);
  HopSpan Hop(this->Context, Request.TraceParent, "holder");
  Hop.set("group", Request.Group);
  Request.TraceParent = Hop.traceParent();
  if (&Service->worker() ==
      &this->Context.Workers.worker(WorkerPool::currentWorker()))
    co_return co_await Service->execute(std::move(Request));
  co_return co_await runOn<ExecutionResult>(
      Service->worker().get_executor(),
      [&]() -> asio::awaitable<ExecutionResult> {
        co_return co_await Service->execute(std::move(Request));
      });
}

HttpClient &Executor::clientOf(const Endpoint &Peer) {
  const std::size_t Worker = WorkerPool::currentWorker();
  std::unique_ptr<HttpClient> &Client = this->Clients[Worker][Peer];
  if (!Client)
    Client = std::make_unique<HttpClient>(
        this->Context.Workers.worker(Worker).get_executor(), Peer);
  return *Client;
}

asio::awaitable<ExecutionResult> Executor::forward(Endpoint Peer,
                                                   ExecutionRequest Request) {
  HopSpan Hop(this->Context, Request.TraceParent, "forward");
  Hop.set("peer", toString(Peer));
  Request.TraceParent = Hop.traceParent();
  HttpRequest Message;
  Message.Method = "POST";
  Message.Target = "/v1/forward";
  Message.Body = writeCompactJson(Request.toJson(steadyNow()));
  Result<HttpResponse> Response =
      co_await this->clientOf(Peer).send(std::move(Message), Request.Deadline);
  if (Response)
    co_return fromHttpResponse(std::move(Response.value()));
  const bool Unsent = Response.error().Kind == ErrorKind::Unavailable;
  co_return ExecutionResult::failed(Response.error(),
                                    Unsent ? AttemptOutcome::NotSent
                                           : AttemptOutcome::AnswerLost);
}

asio::awaitable<HttpResponse> Executor::handleForwarded(HttpRequest Request) {
  const Result<Json::Value> Value = parseStrictJson(Request.Body);
  if (!Value)
    co_return problemResponse(Value.error());
  Result<ExecutionRequest> Read =
      ExecutionRequest::fromJson(Value.value(), steadyNow());
  if (!Read)
    co_return problemResponse(Read.error());
  co_return toHttpResponse(
      co_await this->executeLocally(std::move(Read.value())));
}

} // namespace lavenderdale
