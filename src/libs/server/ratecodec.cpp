#include "ratecodec.h"

#include "base/objectreader.h"

#include <chrono>

namespace lavenderdale {
namespace {

using std::chrono::microseconds;

Json::Value unsignedValue(std::uint64_t Value) {
  return Json::Value::UInt64(Value);
}

std::uint64_t inMicroseconds(Duration Value) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<microseconds>(Value).count());
}

constexpr std::uint64_t MaxValidityUs = 60'000'000;

// Members that the messages for grants and for loans have in common.
template <typename Request>
void writeSender(Json::Value &Value, const Request &Sent) {
  Value["workspace"] = Sent.Workspace;
  Value["epoch"] = unsignedValue(Sent.Epoch);
  Value["host"] = Sent.Host;
  Value["incarnation"] = unsignedValue(Sent.Incarnation);
  Value["sequence"] = unsignedValue(Sent.Sequence);
}

template <typename Request>
void readSender(ObjectReader &Reader, Request &Read) {
  Read.Workspace = Reader.requiredString("workspace");
  Read.Epoch = Reader.requiredUnsigned("epoch", 0, UINT64_MAX);
  Read.Host = Reader.requiredString("host");
  Read.Incarnation = Reader.requiredUnsigned("incarnation", 0, UINT64_MAX);
  Read.Sequence = Reader.requiredUnsigned("sequence", 0, UINT64_MAX);
}

template <typename Answer>
void writeReply(Json::Value &Value, const Answer &Sent) {
  Value["workspace"] = Sent.Workspace;
  Value["incarnation"] = unsignedValue(Sent.Incarnation);
  Value["sequence"] = unsignedValue(Sent.Sequence);
  Value["status"] = static_cast<int>(Sent.Status);
  Value["validityUs"] = unsignedValue(inMicroseconds(Sent.Validity));
}

template <typename Answer> void readReply(ObjectReader &Reader, Answer &Read) {
  Read.Workspace = Reader.requiredString("workspace");
  Read.Incarnation = Reader.requiredUnsigned("incarnation", 0, UINT64_MAX);
  Read.Sequence = Reader.requiredUnsigned("sequence", 0, UINT64_MAX);
  Read.Status =
      static_cast<GrantStatus>(Reader.requiredUnsigned("status", 0, 3));
  Read.Validity =
      microseconds(Reader.requiredUnsigned("validityUs", 0, MaxValidityUs));
}

} // namespace

Json::Value toJson(const GrantRequest &Request) {
  Json::Value Value(Json::objectValue);
  writeSender(Value, Request);
  Value["wanted"] = Request.Wanted;
  Value["spent"] = unsignedValue(Request.Spent);
  Value["held"] = Request.Held;
  return Value;
}

Result<GrantRequest> grantRequestFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "draw");
  GrantRequest Request;
  readSender(Reader, Request);
  Request.Wanted = static_cast<std::uint32_t>(
      Reader.requiredUnsigned("wanted", 0, UINT32_MAX));
  Request.Spent = Reader.requiredUnsigned("spent", 0, UINT64_MAX);
  Request.Held = static_cast<std::uint32_t>(
      Reader.requiredUnsigned("held", 0, UINT32_MAX));
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Request;
}

Json::Value toJson(const GrantAnswer &Answer) {
  Json::Value Value(Json::objectValue);
  writeReply(Value, Answer);
  Value["tokens"] = Answer.Tokens;
  return Value;
}

Result<GrantAnswer> grantAnswerFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "grant");
  GrantAnswer Answer;
  readReply(Reader, Answer);
  Answer.Tokens = static_cast<std::uint32_t>(
      Reader.requiredUnsigned("tokens", 0, UINT32_MAX));
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Answer;
}

Json::Value toJson(const LoanRequest &Request) {
  Json::Value Value(Json::objectValue);
  writeSender(Value, Request);
  Value["wanted"] = unsignedValue(static_cast<std::uint64_t>(Request.Wanted));
  Value["urgent"] = Request.Urgent;
  return Value;
}

Result<LoanRequest> loanRequestFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "borrow");
  LoanRequest Request;
  readSender(Reader, Request);
  Request.Wanted =
      static_cast<Microtokens>(Reader.requiredUnsigned("wanted", 0, INT64_MAX));
  Request.Urgent = Reader.optionalBool("urgent", false);
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Request;
}

Json::Value toJson(const LoanAnswer &Answer) {
  Json::Value Value(Json::objectValue);
  writeReply(Value, Answer);
  Value["amount"] = unsignedValue(static_cast<std::uint64_t>(Answer.Amount));
  Value["spare"] = unsignedValue(static_cast<std::uint64_t>(Answer.Spare));
  return Value;
}

Result<LoanAnswer> loanAnswerFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "loan");
  LoanAnswer Answer;
  readReply(Reader, Answer);
  Answer.Amount =
      static_cast<Microtokens>(Reader.requiredUnsigned("amount", 0, INT64_MAX));
  Answer.Spare =
      static_cast<Microtokens>(Reader.requiredUnsigned("spare", 0, INT64_MAX));
  BOOST_OUTCOME_TRYV(Reader.finish());
  return Answer;
}

} // namespace lavenderdale
