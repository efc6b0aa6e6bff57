#include "sessionproxy/relaymessages.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace lavenderdale;
using namespace std::chrono_literals;

namespace {

std::string body(const std::string &Message) {
  return Message.substr(RelayHeaderBytes);
}

RelayRequest requestOfAllMembers() {
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
  return Request;
}

} // namespace

// Guards against a member that is lost on the way to the other host, such as
// the position that a read has to see.
TEST_CASE("a relayed request arrives whole", "[read-your-writes]") {
  const std::string Bytes = encodeRelay(requestOfAllMembers());
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
}

// Guards against an answer that loses whether its statement may have run.
TEST_CASE("a relayed answer arrives whole", "[not-run]") {
  RelayAnswer Answer;
  Answer.Id = 5;
  Answer.Held = 6;
  Answer.Load = 7;
  Answer.Result.Connected = true;
  Answer.Result.Sent = true;
  Answer.Result.Lost = true;
  Answer.Result.Ran = 1500us;
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
  REQUIRE(Result.Replies.size() == 2);
  CHECK(Result.Replies[1].Rows == Reply.Rows);
  CHECK(Result.Replies[1].Failure == UpstreamFailure::Behind);
  CHECK(Result.Replies[1].At == Reply.At);
  CHECK(Result.state() == TransactionState::Open);
}

// Guards against a host that wakes from a pause and carries out a write that
// was given up meanwhile, after newer ones: in a trial with three processes an
// unanswered write replaced the acknowledged one that followed it.
TEST_CASE("a request that was long on its way has less time left",
          "[at-most-once]") {
  const auto Left = [](std::chrono::milliseconds SpokeAgo, RelayRequest &Into) {
    Into = requestOfAllMembers(); // 800 ms until its deadline.
    Into.HeardAgo = 300ms;
    return countDelay(Into, SpokeAgo);
  };
  RelayRequest Request;
  CHECK(Left(301ms, Request));
  CHECK(Request.DeadlineIn == 800ms);
  CHECK(Left(100ms, Request)); // The sender was the one that paused.
  CHECK(Request.DeadlineIn == 800ms);
  CHECK(Left(700ms, Request));
  CHECK(Request.DeadlineIn == 400ms);
  CHECK(Request.GiveUpIn == 160ms);
  CHECK_FALSE(Left(1200ms, Request));
}

// Guards against bytes of a broken or foreign peer that end the process.
TEST_CASE("damaged relay messages are refused") {
  std::mt19937_64 Random(11);
  const std::string Whole = body(encodeRelay(requestOfAllMembers()));
  for (int Turn = 0; Turn < 5000; ++Turn) {
    std::string Damaged = Whole.substr(0, Random() % (Whole.size() + 1));
    for (std::size_t Change = Random() % 4; Change > 0 && !Damaged.empty();
         --Change)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    (void)decodeRelayRequest(Damaged);
    (void)decodeRelayAnswer(Damaged);
  }
  CHECK_FALSE(decodeRelayRequest(""));
  CHECK_FALSE(decodeRelayAnswer(Whole));
  CHECK_FALSE(relayLength(std::string(RelayHeaderBytes, '\xFF')));
}
