#include "base/strictjson.h"
#include "server/ratecodec.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

template <typename Message> std::string textOf(const Message &Value) {
  return writeCompactJson(toJson(Value));
}

Json::Value valueOf(const std::string &Text) {
  return parseStrictJson(Text).value();
}

} // namespace

// Guards against a member that is written but refused when read: loans between
// failure domains failed because the reader did not know "urgent".
TEST_CASE("rate messages are unchanged after writing and reading", "[rate]") {
  const GrantRequest Draw{"w", 3, "h1", 99, 5, 20, 1000, 7};
  const auto ReadDraw = grantRequestFromJson(valueOf(textOf(Draw)));
  REQUIRE(ReadDraw.has_value());
  CHECK(ReadDraw.value() == Draw);

  GrantAnswer Grant;
  Grant.Workspace = "w";
  Grant.Incarnation = 99;
  Grant.Sequence = 5;
  Grant.Status = GrantStatus::Granted;
  Grant.Tokens = 12;
  Grant.Validity = std::chrono::milliseconds(500);
  const auto ReadGrant = grantAnswerFromJson(valueOf(textOf(Grant)));
  REQUIRE(ReadGrant.has_value());
  CHECK(ReadGrant.value() == Grant);

  LoanRequest Borrow;
  Borrow.Workspace = "w";
  Borrow.Epoch = 3;
  Borrow.Host = "h1";
  Borrow.Incarnation = 99;
  Borrow.Sequence = 6;
  Borrow.Wanted = 5'000'000;
  Borrow.Urgent = true;
  const auto ReadBorrow = loanRequestFromJson(valueOf(textOf(Borrow)));
  REQUIRE(ReadBorrow.has_value());
  CHECK(ReadBorrow.value() == Borrow);

  LoanAnswer Loan;
  Loan.Workspace = "w";
  Loan.Incarnation = 99;
  Loan.Sequence = 6;
  Loan.Status = GrantStatus::Granted;
  Loan.Amount = 4'000'000;
  Loan.Spare = 1;
  Loan.Validity = std::chrono::milliseconds(100);
  const auto ReadLoan = loanAnswerFromJson(valueOf(textOf(Loan)));
  REQUIRE(ReadLoan.has_value());
  CHECK(ReadLoan.value() == Loan);
}
