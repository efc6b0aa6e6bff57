#include "relaymessages.h"

#include "cbordecoder.h"
#include "http/resumewith.h"
#include "protocols.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <exception>
#include <optional>
#include <ratio>
#include <stdexcept>
#include <utility>

namespace lavenderdale {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int BitsPerByte = 8;

// Messages are arrays instead of objects, because member names would be half of
// most messages.

Json encode(const std::optional<Position> &At) {
  if (!At)
    return nullptr;
  return Json::array({At->InTerm.Value, At->Log.Value});
}

std::optional<Position> decodePosition(const Json &Value) {
  if (Value.is_null())
    return std::nullopt;
  Position At;
  Value.at(0).get_to(At.InTerm.Value);
  Value.at(1).get_to(At.Log.Value);
  return At;
}

template <typename Enum> Enum decodeEnum(const Json &Value, Enum Last) {
  const auto Number = Value.get<int>();
  if (Number < 0 || Number > static_cast<int>(Last))
    throw std::out_of_range("unknown enumerator " + std::to_string(Number));
  return static_cast<Enum>(Number);
}

Json encode(const UpstreamCommand &Command) {
  return Json::array({static_cast<int>(Command.Type), Command.Id, Command.Text,
                      Command.Name, Command.Argument, encode(Command.After)});
}

// A text with a line end would be two messages to the upstream.
std::string decodeText(const Json &Value) {
  auto Text = Value.get<std::string>();
  if (Text.find(MessageEnd) != std::string::npos)
    throw std::invalid_argument("a command contains a line end");
  return Text;
}

UpstreamCommand decodeCommand(const Json &Value) {
  UpstreamCommand Command;
  Command.Type = decodeEnum(Value.at(0), UpstreamCommand::Kind::Status);
  Command.Id = decodeText(Value.at(1));
  Command.Text = decodeText(Value.at(2));
  Command.Name = decodeText(Value.at(3));
  Command.Argument = decodeText(Value.at(4));
  Command.After = decodePosition(Value.at(5));
  return Command;
}

Json encode(const UpstreamReply &Reply) {
  return Json::array({Reply.Rows, Reply.Signature,
                      static_cast<int>(Reply.Failure), Reply.FailureCode,
                      Reply.FailureText, static_cast<int>(Reply.State),
                      encode(Reply.At)});
}

UpstreamReply decodeReply(const Json &Value) {
  UpstreamReply Reply;
  Value.at(0).get_to(Reply.Rows);
  Value.at(1).get_to(Reply.Signature);
  Reply.Failure = decodeEnum(Value.at(2), UpstreamFailure::Other);
  Value.at(3).get_to(Reply.FailureCode);
  Value.at(4).get_to(Reply.FailureText);
  Reply.State = decodeEnum(Value.at(5), TransactionState::Failed);
  Reply.At = decodePosition(Value.at(6));
  return Reply;
}

Json encode(const UpstreamWork &Work) {
  Json Commands = Json::array();
  for (const UpstreamCommand &Each : Work.Commands)
    Commands.push_back(encode(Each));
  return Json::array(
      {Work.Values, Work.Definition ? Json(*Work.Definition) : Json(),
       Work.InTransaction, Work.Guard ? encode(*Work.Guard) : Json(), Commands,
       Work.MaxProofAge.count()});
}

// Element that was added at the end of an array after the first version. Hosts
// of the version before leave it out, and ignore it.
milliseconds decodeAddedTime(const Json &Value, std::size_t Index) {
  return milliseconds(Index < Value.size() ? Value.at(Index).get<std::int64_t>()
                                           : 0);
}

UpstreamWork decodeWork(const Json &Value) {
  UpstreamWork Work;
  Value.at(0).get_to(Work.Values);
  if (!Value.at(1).is_null())
    Work.Definition = Value.at(1).get<std::string>();
  Value.at(2).get_to(Work.InTransaction);
  if (!Value.at(3).is_null())
    Work.Guard = decodeCommand(Value.at(3));
  for (const Json &Each : Value.at(4))
    Work.Commands.push_back(decodeCommand(Each));
  Work.MaxProofAge = decodeAddedTime(Value, 5);
  return Work;
}

std::int64_t toMicroseconds(Duration Length) {
  return std::chrono::duration_cast<microseconds>(Length).count();
}

Json encode(const WorkResult &Result) {
  Json Replies = Json::array();
  for (const UpstreamReply &Each : Result.Replies)
    Replies.push_back(encode(Each));
  return Json::array({Result.Connected, Result.Unreachable, Result.SetUpError,
                      Result.Guard ? encode(*Result.Guard) : Json(), Replies,
                      Result.Sent, Result.Lost, toMicroseconds(Result.Waited),
                      toMicroseconds(Result.Ran), Result.ProofAge.count()});
}

WorkResult decodeResult(const Json &Value) {
  WorkResult Result;
  Value.at(0).get_to(Result.Connected);
  Value.at(1).get_to(Result.Unreachable);
  Value.at(2).get_to(Result.SetUpError);
  if (!Value.at(3).is_null())
    Result.Guard = decodeReply(Value.at(3));
  for (const Json &Each : Value.at(4))
    Result.Replies.push_back(decodeReply(Each));
  Value.at(5).get_to(Result.Sent);
  Value.at(6).get_to(Result.Lost);
  Result.Waited = microseconds(Value.at(7).get<std::int64_t>());
  Result.Ran = microseconds(Value.at(8).get<std::int64_t>());
  Result.ProofAge = decodeAddedTime(Value, 9);
  return Result;
}

// Members that hosts of other versions do not know are in a map at the end of
// an answer.
constexpr const char *LimitKey = "limit";
constexpr const char *ServiceTimeKey = "service_us";
constexpr const char *WaitKey = "wait_us";
constexpr const char *RetryAfterKey = "retry_ms";
// Longer times are taken for malformed.
constexpr double MaxToldSeconds = 3600;

// Returns member \p Key of \p Extensions; nothing if it is missing or no time
// in units of \p PerSecond that can be used.
std::optional<double> decodeMember(const Json &Extensions, const char *Key,
                                   double PerSecond) {
  const auto Found = Extensions.find(Key);
  if (Found == Extensions.end() || !Found->is_number())
    return std::nullopt;
  const auto Value = Found->get<double>();
  if (!std::isfinite(Value) || Value < 0 || Value > MaxToldSeconds * PerSecond)
    return std::nullopt;
  return Value;
}

Json encodeExtensions(const RelayAnswer &Answer) {
  Json Extensions = Json::object();
  Extensions[LimitKey] = Answer.Limit;
  if (Answer.ServiceTime.count() > 0)
    Extensions[ServiceTimeKey] = Answer.ServiceTime.count();
  if (Answer.ExpectedWait)
    Extensions[WaitKey] = Answer.ExpectedWait->count();
  if (Answer.RetryAfter.count() > 0)
    Extensions[RetryAfterKey] = Answer.RetryAfter.count();
  return Extensions;
}

void decodeExtensions(const Json &Value, RelayAnswer &Answer) {
  if (!Value.is_object())
    return;
  Answer.Limit = decodeMember(Value, LimitKey, 1).value_or(0);
  Answer.ServiceTime = microseconds(static_cast<std::int64_t>(
      decodeMember(Value, ServiceTimeKey, std::micro::den).value_or(0)));
  if (const std::optional<double> Wait =
          decodeMember(Value, WaitKey, std::micro::den))
    Answer.ExpectedWait = microseconds(static_cast<std::int64_t>(*Wait));
  Answer.RetryAfter = milliseconds(static_cast<std::int64_t>(
      decodeMember(Value, RetryAfterKey, std::milli::den).value_or(0)));
}

std::string withHeader(const Json &Message) {
  std::string Bytes(RelayHeaderBytes, '\0');
  Json::to_cbor(Message, Bytes);
  std::size_t Length = Bytes.size() - RelayHeaderBytes;
  for (std::size_t Index = RelayHeaderBytes; Index > 0; --Index) {
    Bytes[Index - 1] = static_cast<char>(Length & 0xFFU);
    Length >>= BitsPerByte;
  }
  return Bytes;
}

template <typename Message, typename Decode>
Result<Message> decode(std::string_view Bytes, Decode Read) {
  try {
    return Read(decodeCbor(Bytes));
  } catch (const std::exception &Failure) {
    return failure(ErrorKind::BadRequest, Failure.what());
  }
}

} // namespace

std::string encodeRelay(const RelayRequest &Request) {
  return withHeader(Json::array(
      {static_cast<int>(Request.Type), Request.Id, Request.Upstream,
       Request.Workspace, Request.Priority, Request.TargetIn.count(),
       Request.GiveUpIn.count(), Request.DeadlineIn.count(),
       Request.SinceLastReceived.count(), Request.Held, Request.Hold,
       encode(Request.Work)}));
}

std::string encodeRelay(const RelayAnswer &Answer) {
  Json Message = Json::array({Answer.Id, Answer.Held, Answer.Refusal,
                              Answer.Load, encode(Answer.Result)});
  if (Answer.Limit > 0)
    Message.push_back(encodeExtensions(Answer));
  return withHeader(Message);
}

bool deductTransitTime(RelayRequest &Request, milliseconds SinceLastSent) {
  // Messages between hosts take milliseconds, and somewhat longer if a host is
  // busy.
  constexpr milliseconds UsualTransitTime{50};
  const milliseconds TransitTime = SinceLastSent - Request.SinceLastReceived;
  if (TransitTime <= UsualTransitTime)
    return true;
  Request.TargetIn -= TransitTime;
  Request.GiveUpIn -= TransitTime;
  Request.DeadlineIn -= TransitTime;
  return Request.DeadlineIn > milliseconds(0);
}

Result<std::size_t> relayLength(std::string_view Header) {
  std::size_t Length = 0;
  for (const char Each : Header)
    Length = Length << BitsPerByte | static_cast<unsigned char>(Each);
  if (Length > MaxRelayBytes)
    return failure(ErrorKind::BadRequest, "message of " +
                                              std::to_string(Length) +
                                              " bytes exceeds the limit");
  return Length;
}

asio::awaitable<Result<std::size_t>>
readRelayLength(asio::ip::tcp::socket &From) {
  std::array<char, RelayHeaderBytes> Header{};
  boost::system::error_code Failure;
  co_await asio::async_read(From, asio::buffer(Header), resumeWith(Failure));
  if (Failure)
    co_return failure(ErrorKind::Unavailable, Failure.message());
  co_return relayLength({Header.data(), Header.size()});
}

asio::awaitable<Result<void>> readRelayBody(asio::ip::tcp::socket &From,
                                            std::size_t Length,
                                            std::string &Bytes) {
  boost::system::error_code Failure;
  Bytes.resize(Length);
  co_await asio::async_read(From, asio::buffer(Bytes), resumeWith(Failure));
  if (Failure)
    co_return failure(ErrorKind::Unavailable, Failure.message());
  co_return success();
}

asio::awaitable<Result<void>> readRelay(asio::ip::tcp::socket &From,
                                        std::string &Bytes) {
  const Result<std::size_t> Length = co_await readRelayLength(From);
  if (!Length)
    co_return Length.error();
  co_return co_await readRelayBody(From, Length.value(), Bytes);
}

Result<RelayRequest> decodeRelayRequest(std::string_view Bytes) {
  return decode<RelayRequest>(Bytes, [](const Json &Value) {
    RelayRequest Request;
    Request.Type = decodeEnum(Value.at(0), RelayRequest::Kind::Admit);
    Value.at(1).get_to(Request.Id);
    Value.at(2).get_to(Request.Upstream);
    Value.at(3).get_to(Request.Workspace);
    Value.at(4).get_to(Request.Priority);
    Request.TargetIn = milliseconds(Value.at(5).get<std::int64_t>());
    Request.GiveUpIn = milliseconds(Value.at(6).get<std::int64_t>());
    Request.DeadlineIn = milliseconds(Value.at(7).get<std::int64_t>());
    Request.SinceLastReceived = milliseconds(Value.at(8).get<std::int64_t>());
    Value.at(9).get_to(Request.Held);
    Value.at(10).get_to(Request.Hold);
    Request.Work = decodeWork(Value.at(11));
    // What work may do is told by its first command.
    if (Request.Type == RelayRequest::Kind::Run &&
        Request.Work.Commands.empty())
      throw std::invalid_argument("work without commands");
    return Request;
  });
}

Result<RelayAnswer> decodeRelayAnswer(std::string_view Bytes) {
  return decode<RelayAnswer>(Bytes, [](const Json &Value) {
    RelayAnswer Answer;
    Value.at(0).get_to(Answer.Id);
    Value.at(1).get_to(Answer.Held);
    Value.at(2).get_to(Answer.Refusal);
    Value.at(3).get_to(Answer.Load);
    Answer.Result = decodeResult(Value.at(4));
    if (Value.size() > 5)
      decodeExtensions(Value.at(5), Answer);
    return Answer;
  });
}

} // namespace lavenderdale
