#include "consistency/sessiontokencodec.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

SessionTokenCodec codec(std::uint8_t Fill) {
  return SessionTokenCodec::create(std::vector<std::uint8_t>(32, Fill)).value();
}

SessionToken token() {
  SessionToken Token("steel");
  Token.advance("orders", {Term{3}, {500}});
  Token.advance("stock", {Term{1}, {~0ULL}});
  return Token;
}

} // namespace

// Guards against a session that reads older data than it has seen.
TEST_CASE("positions in a token never decrease", "[read-your-writes]") {
  SessionToken Token = token();
  Token.advance("orders", {Term{3}, {499}});
  Token.advance("orders", {Term{2}, {900}});
  CHECK(Token.position("orders") == Position{Term{3}, {500}});
  Token.advance("orders", {Term{4}, {10}});
  CHECK(Token.position("orders") == Position{Term{4}, {10}});
  CHECK_FALSE(Token.position("other").has_value());
}

// Guards against accepting forged, foreign and malformed tokens: with any
// character changed, shortened to any length, with another secret or of another
// workspace.
TEST_CASE("only the unmodified token of the workspace is accepted",
          "[read-your-writes]") {
  const SessionTokenCodec Codec = codec(1);
  const std::string Text = Codec.encode(token()).value();
  CHECK(Text.find_first_of("+/=") == std::string::npos);
  CHECK(Codec.decode(Text, "steel").value() == token());

  const auto Refused = [](const Result<SessionToken> &Decoded) {
    return !Decoded && Decoded.error().Kind == ErrorKind::BadSession;
  };
  CHECK(Refused(Codec.decode(Text, "hours")));
  CHECK(Refused(codec(2).decode(Text, "steel")));
  CHECK(Refused(Codec.decode(Text + "A", "steel")));
  CHECK(Refused(Codec.decode(Text + "====", "steel")));
  CHECK(Refused(Codec.decode(std::string(5000, 'A'), "steel")));
  for (std::size_t I = 0; I < Text.size(); ++I) {
    std::string Changed = Text;
    Changed[I] = Changed[I] == 'A' ? 'B' : 'A';
    CHECK(Refused(Codec.decode(Changed, "steel")));
    Changed[I] = '=';
    CHECK(Refused(Codec.decode(Changed, "steel")));
    CHECK(Refused(Codec.decode(Text.substr(0, I), "steel")));
  }
}

// Guards against a token too long for a header, and a secret that can be
// guessed.
TEST_CASE("the sizes of tokens and secrets are limited") {
  SessionToken Large("steel");
  for (int I = 0; I < 200; ++I)
    Large.advance("group-" + std::to_string(I), {Term{1}, {1}});
  const Result<std::string> Text = codec(1).encode(Large);
  REQUIRE_FALSE(Text.has_value());
  CHECK(Text.error().Kind == ErrorKind::PayloadTooLarge);
  CHECK_FALSE(SessionTokenCodec::create({1, 2, 3}).has_value());
}
