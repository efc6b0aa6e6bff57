#include "sessionproxy/cbordecoder.h"
#include "sessionproxy/hostreport.h"
#include "sessionproxy/relaymessages.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <string>

using namespace lavenderdale;

namespace {

using Json = nlohmann::json;

constexpr char ArrayOfOne = '\x81';
constexpr char MapOfOne = '\xa1';
constexpr char EmptyText = '\x60';

// A map needs a key before each nested value.
std::string nestedMaps(std::size_t Levels) {
  std::string Bytes;
  for (std::size_t Level = 0; Level < Levels; ++Level)
    Bytes.append({MapOfOne, EmptyText});
  return Bytes;
}

} // namespace

// Guards against one message of a broken host that ends the process, because
// the decoder exhausts its stack.
TEST_CASE("deeply nested messages of other hosts are rejected") {
  for (const std::string &Bytes :
       {std::string(MaxRelayBytes, ArrayOfOne), nestedMaps(MaxRelayBytes / 2),
        std::string(2048, ArrayOfOne), std::string(65000, ArrayOfOne)}) {
    CHECK_FALSE(decodeRelayRequest(Bytes));
    CHECK_FALSE(decodeRelayAnswer(Bytes));
    CHECK_FALSE(decodeReport(Bytes));
  }
}

// Guards against a limit that rejects long messages.
TEST_CASE("long messages that are not nested deeply are decoded") {
  Json Message = std::string(100000, 'x');
  for (std::size_t Level = 0; Level < MaxCborNesting; ++Level)
    Message = Json::array({Message});
  std::string Bytes;
  Json::to_cbor(Message, Bytes);
  CHECK(decodeCbor(Bytes) == Message);
  Message = Json::array({Message});
  Bytes.clear();
  Json::to_cbor(Message, Bytes);
  CHECK_THROWS(decodeCbor(Bytes));
}
