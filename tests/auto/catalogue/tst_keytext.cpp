#include "catalogue/keytext.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lavenderdale;

// Guards against keys that repeat, or that cannot be read back.
TEST_CASE("generated keys differ and are read back", "[keys]") {
  std::set<std::string> Texts;
  constexpr int Count = 200;
  for (int I = 0; I < Count; ++I) {
    const Result<KeyText> Key = generateKey();
    REQUIRE(Key);
    const std::string Text = Key.value().text();
    CHECK(Texts.insert(Text).second);
    const std::optional<KeyText> Parsed = parseKeyText(Text);
    REQUIRE(Parsed);
    CHECK(Parsed->Id == Key.value().Id);
    CHECK(Parsed->Secret == Key.value().Secret);
    CHECK(secretMatches(Parsed->Secret, hashSecret(Key.value().Secret)));
  }
}

// Guards against accepting a key with a changed, cut or extended secret.
TEST_CASE("changed keys do not match", "[keys]") {
  const KeyText Key = generateKey().value();
  const std::string Hash = hashSecret(Key.Secret);
  for (std::size_t I = 0; I < Key.Secret.size(); ++I) {
    std::string Changed = Key.Secret;
    Changed[I] = Changed[I] == '0' ? '1' : '0';
    CHECK_FALSE(secretMatches(Changed, Hash));
  }
  CHECK_FALSE(secretMatches("", Hash));
  CHECK_FALSE(secretMatches(Key.Secret, ""));
  CHECK_FALSE(secretMatches(Hash, Hash));
  const std::string Text = Key.text();
  CHECK_FALSE(parseKeyText(Text.substr(0, Text.size() - 1)));
  CHECK_FALSE(parseKeyText(Text + "0"));
  CHECK_FALSE(parseKeyText("LDK" + Text.substr(3)));
  std::string Upper = Text;
  Upper.back() = 'A';
  CHECK_FALSE(parseKeyText(Upper));
}

// Guards against a hash that other implementations would not compute.
TEST_CASE("the hash is SHA-256 in lowercase hex", "[keys]") {
  CHECK(hashSecret("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
