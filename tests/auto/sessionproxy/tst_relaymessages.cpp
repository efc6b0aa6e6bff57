#include "sessionproxy/relaymessages.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <random>
#include <string>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

std::string body(const std::string &Message) {
  return Message.substr(RelayHeaderBytes);
}

RelayRequest requestWithAllFields() {
  RelayRequest Request;
  Request.Id = 77;
  Request.Upstream = "i-1";
  Request.Workspace = "clerks";
  Request.Priority = 2;
  Request.TargetIn = -5ms;
  Request.GiveUpIn = 560ms;
  Request.DeadlineIn = 800ms;
  Request.Held = 9;
  Request.Hold = true;
  Request.Work.Values = {{"zone", "west"}};
  Request.Work.Definition = "READ q2c";
  Request.Work.InTransaction = true;
  UpstreamCommand Read;
  Read.Type = UpstreamCommand::Kind::Execute;
  Read.Id = "5c0e";
  Read.Argument = "1a4";
  Read.After = Position{Term{3}, LogPosition{1207}};
  Request.Work.Guard = UpstreamCommand{};
  Request.Work.Commands = {Read, UpstreamCommand{}};
  Request.Work.MaxProofAge = 1500ms;
  return Request;
}

} // namespace

// Guards against a field that is not encoded, such as the log position that a
// read must see.
TEST_CASE("relay requests round-trip", "[read-your-writes]") {
  const std::string Bytes = encodeRelay(requestWithAllFields());
  const auto Length = relayLength(Bytes.substr(0, RelayHeaderBytes));
  REQUIRE(Length);
  CHECK(Length.value() == Bytes.size() - RelayHeaderBytes);
  const Result<RelayRequest> Read = decodeRelayRequest(body(Bytes));
  REQUIRE(Read);
  const RelayRequest &Request = Read.value();
  CHECK(Request.Id == 77);
  CHECK(Request.Upstream == "i-1");
  CHECK(Request.Workspace == "clerks");
  CHECK(Request.Priority == 2);
  CHECK(Request.TargetIn == -5ms);
  CHECK(Request.DeadlineIn == 800ms);
  CHECK(Request.Held == 9);
  CHECK(Request.Hold);
  CHECK(Request.Work.Values.at("zone") == "west");
  CHECK(Request.Work.Definition == "READ q2c");
  CHECK(Request.Work.InTransaction);
  CHECK(Request.Work.Guard);
  REQUIRE(Request.Work.Commands.size() == 2);
  CHECK(Request.Work.Commands[0].Id == "5c0e");
  CHECK(Request.Work.Commands[0].After == Position{Term{3}, LogPosition{1207}});
  CHECK_FALSE(Request.Work.Commands[1].After);
  CHECK(Request.Work.MaxProofAge == 1500ms);
}

// Guards against a message of another host whose text is sent to the upstream
// as two messages.
TEST_CASE("a command with a line end is rejected", "[answers]") {
  using Member = std::string UpstreamCommand::*;
  for (const Member Each :
       {&UpstreamCommand::Id, &UpstreamCommand::Text, &UpstreamCommand::Name,
        &UpstreamCommand::Argument}) {
    RelayRequest Request = requestWithAllFields();
    Request.Work.Commands.front().*Each = "a\r\nQUERY b WRITE c d";
    CHECK_FALSE(decodeRelayRequest(body(encodeRelay(Request))));
    Request.Work.Commands.front().*Each = "a\nQUERY b WRITE c d";
    CHECK(decodeRelayRequest(body(encodeRelay(Request))));
  }
}

// Guards against a message that ends the process of the host that gets it,
// which looks at the first command of the work.
TEST_CASE("work without commands is rejected", "[answers]") {
  RelayRequest Request = requestWithAllFields();
  Request.Work.Commands.clear();
  CHECK_FALSE(decodeRelayRequest(body(encodeRelay(Request))));
  Request.Work.Guard.reset();
  CHECK_FALSE(decodeRelayRequest(body(encodeRelay(Request))));
  // Other requests carry no work.
  Request.Type = RelayRequest::Kind::Admit;
  CHECK(decodeRelayRequest(body(encodeRelay(Request))));
}

// Guards against a rolling change of version during which hosts do not
// understand each other.
TEST_CASE("messages without the fields added last are read") {
  using Json = nlohmann::json;
  const auto WithoutLast = [](const std::string &Bytes,
                              const Json::json_pointer &Array) {
    Json Message = Json::from_cbor(body(Bytes));
    Json &Shortened = Message.at(Array);
    Shortened.erase(Shortened.size() - 1);
    std::string Encoded;
    Json::to_cbor(Message, Encoded);
    return Encoded;
  };
  const Result<RelayRequest> Request = decodeRelayRequest(
      WithoutLast(encodeRelay(requestWithAllFields()), "/11"_json_pointer));
  REQUIRE(Request);
  CHECK(Request.value().Work.MaxProofAge == 0ms);
  CHECK(Request.value().Work.Commands.size() == 2);
  RelayAnswer Answer;
  Answer.Result.ProofAge = 200ms;
  const Result<RelayAnswer> Read =
      decodeRelayAnswer(WithoutLast(encodeRelay(Answer), "/4"_json_pointer));
  REQUIRE(Read);
  CHECK(Read.value().Result.ProofAge == 0ms);
}

// Guards against a probe that the upstream does not prove, and against a read
// or a statement of a transaction that counts as a proof of leadership.
TEST_CASE("only work that a replica refuses proves leadership", "[fencing]") {
  UpstreamWork Write;
  Write.Commands.resize(1);
  Write.Commands[0].Id = "5c0e";
  CHECK(Write.provesLeadership());
  CHECK(Write.mayWrite());
  UpstreamWork InTransaction = Write;
  InTransaction.InTransaction = true;
  CHECK_FALSE(InTransaction.provesLeadership());
  CHECK(InTransaction.mayWrite());
  UpstreamWork Read = Write;
  Read.Commands[0].After = Position{Term{3}, LogPosition{4}};
  CHECK_FALSE(Read.provesLeadership());
  CHECK_FALSE(Read.mayWrite());
  UpstreamWork ReadAtPrimary = Write;
  ReadAtPrimary.Guard = UpstreamCommand{};
  CHECK(ReadAtPrimary.provesLeadership());
  CHECK_FALSE(ReadAtPrimary.mayWrite());
  UpstreamWork Probe;
  Probe.Commands.resize(2);
  Probe.Commands[0].Type = UpstreamCommand::Kind::Begin;
  CHECK(Probe.provesLeadership());
  UpstreamWork Reading;
  Reading.Commands.resize(1);
  Reading.Commands[0].Type = UpstreamCommand::Kind::BeginReadOnly;
  Reading.Commands[0].After = Position{Term{3}, LogPosition{4}};
  CHECK_FALSE(Reading.provesLeadership());
}

// Guards against losing the information whether a statement may have run.
TEST_CASE("relay answers round-trip", "[not-run]") {
  RelayAnswer Answer;
  Answer.Id = 5;
  Answer.Held = 6;
  Answer.Load = 7;
  Answer.Result.Connected = true;
  Answer.Result.Sent = true;
  Answer.Result.Lost = true;
  Answer.Result.Ran = 1500us;
  Answer.Result.ProofAge = 250ms;
  UpstreamReply Reply;
  Reply.Rows = {"one", "two"};
  Reply.Signature = "7.1f3";
  Reply.Failure = UpstreamFailure::Behind;
  Reply.State = TransactionState::Open;
  Reply.At = Position{Term{3}, LogPosition{4}};
  Answer.Result.Guard = Reply;
  Answer.Result.Replies = {Reply, Reply};
  const Result<RelayAnswer> Read = decodeRelayAnswer(body(encodeRelay(Answer)));
  REQUIRE(Read);
  CHECK(Read.value().Held == 6);
  CHECK(Read.value().Load == 7);
  const WorkResult &Result = Read.value().Result;
  CHECK(Result.Connected);
  CHECK(Result.Sent);
  CHECK(Result.Lost);
  CHECK(Result.Ran == 1500us);
  CHECK(Result.ProofAge == 250ms);
  REQUIRE(Result.Replies.size() == 2);
  CHECK(Result.Replies[1].Rows == Reply.Rows);
  CHECK(Result.Replies[1].Failure == UpstreamFailure::Behind);
  CHECK(Result.Replies[1].At == Reply.At);
  CHECK(Result.state() == TransactionState::Open);
}

// Guards against a host that resumes after a pause and runs a write that its
// sender has given up, after newer writes. In a run with three processes, such
// a write overwrote an acknowledged later one.
TEST_CASE("transit time is deducted from the remaining time of a request",
          "[at-most-once]") {
  const auto HasTimeLeft = [](std::chrono::milliseconds SinceLastSent,
                              RelayRequest &Target) {
    Target = requestWithAllFields(); // Has 800 ms left.
    Target.SinceLastReceived = 300ms;
    return deductTransitTime(Target, SinceLastSent);
  };
  RelayRequest Request;
  CHECK(HasTimeLeft(301ms, Request));
  CHECK(Request.DeadlineIn == 800ms);
  // The sender was paused, not the receiver.
  CHECK(HasTimeLeft(100ms, Request));
  CHECK(Request.DeadlineIn == 800ms);
  CHECK(HasTimeLeft(700ms, Request));
  CHECK(Request.DeadlineIn == 400ms);
  CHECK(Request.GiveUpIn == 160ms);
  CHECK_FALSE(HasTimeLeft(1200ms, Request));
}

// Guards against a crash on bytes from a broken or foreign peer.
TEST_CASE("damaged relay messages are rejected") {
  std::mt19937_64 Random(11);
  const std::string Valid = body(encodeRelay(requestWithAllFields()));
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Damaged = Valid.substr(0, Random() % (Valid.size() + 1));
    for (std::size_t Change = Random() % 4; Change > 0 && !Damaged.empty();
         --Change)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    (void)decodeRelayRequest(Damaged);
    (void)decodeRelayAnswer(Damaged);
  }
  CHECK_FALSE(decodeRelayRequest(""));
  CHECK_FALSE(decodeRelayAnswer(Valid));
  CHECK_FALSE(relayLength(std::string(RelayHeaderBytes, '\xFF')));
}

// Guards against an estimate that is lost on the way, and against one of a host
// of another version or a faulty one that stops the answer or is used as told.
TEST_CASE("an answer carries the holder's estimate, and a malformed one means "
          "not told") {
  RelayAnswer Answer;
  Answer.Id = 7;
  Answer.Limit = 5;
  Answer.ServiceTime = std::chrono::microseconds(12345);
  Answer.ExpectedWait = std::chrono::microseconds(0);
  Answer.RetryAfter = std::chrono::milliseconds(80);
  const std::string Bytes = encodeRelay(Answer).substr(RelayHeaderBytes);
  const Result<RelayAnswer> Read = decodeRelayAnswer(Bytes);
  REQUIRE(Read);
  CHECK(Read.value().Limit == 5);
  CHECK(Read.value().ServiceTime == Answer.ServiceTime);
  CHECK(Read.value().ExpectedWait == Answer.ExpectedWait);
  CHECK(Read.value().RetryAfter == Answer.RetryAfter);
  // Without an estimate, an answer is the same as that of the version before.
  RelayAnswer Plain;
  Plain.Id = 7;
  const std::string Old = encodeRelay(Plain).substr(RelayHeaderBytes);
  nlohmann::json Message = nlohmann::json::from_cbor(Old);
  CHECK(Message.size() == 5);
  for (const char *Extension :
       {"null", "7", "[]", "{}", R"({"limit":"5"})", R"({"limit":-1})",
        R"({"limit":1e30,"wait_us":-5})", R"({"wait_us":[],"retry_ms":"x"})",
        R"({"other":1})"}) {
    CAPTURE(Extension);
    nlohmann::json Extended = Message;
    Extended.push_back(nlohmann::json::parse(Extension));
    const std::vector<std::uint8_t> Cbor = nlohmann::json::to_cbor(Extended);
    const Result<RelayAnswer> Other =
        decodeRelayAnswer(std::string(Cbor.begin(), Cbor.end()));
    REQUIRE(Other);
    CHECK(Other.value().Id == 7);
    CHECK(Other.value().Limit == 0);
    CHECK_FALSE(Other.value().ExpectedWait);
    CHECK(Other.value().RetryAfter.count() == 0);
  }
}
