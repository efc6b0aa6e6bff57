#include "cbordecoder.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace lavenderdale {
namespace {

using Json = nlohmann::json;

/// Follows a message without storing it, and stops where it is nested too deep.
class NestingCheck : public nlohmann::json_sax<Json> {
public:
  bool null() override { return true; }
  bool boolean(bool /*Value*/) override { return true; }
  bool number_integer(number_integer_t /*Value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*Value*/) override { return true; }
  bool number_float(number_float_t /*Value*/,
                    const string_t & /*Text*/) override {
    return true;
  }
  bool string(string_t & /*Value*/) override { return true; }
  bool binary(binary_t & /*Value*/) override { return true; }
  bool start_object(std::size_t /*Elements*/) override { return this->enter(); }
  bool key(string_t & /*Value*/) override { return true; }
  bool end_object() override { return this->leave(); }
  bool start_array(std::size_t /*Elements*/) override { return this->enter(); }
  bool end_array() override { return this->leave(); }
  // The decoder itself reports what is not CBOR.
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const Json::exception & /*Failure*/) override {
    return false;
  }

  bool tooDeep() const { return this->Depth > MaxCborNesting; }

private:
  bool enter() { return ++this->Depth <= MaxCborNesting; }
  bool leave() {
    --this->Depth;
    return true;
  }

  std::size_t Depth = 0;
};

// Each level takes a byte, so a shorter message cannot exhaust the stack.
constexpr std::size_t MaxUncheckedBytes = 2048;

} // namespace

nlohmann::json decodeCbor(std::string_view Bytes) {
  if (Bytes.size() > MaxUncheckedBytes) {
    NestingCheck Check;
    Json::sax_parse(Bytes, &Check, Json::input_format_t::cbor);
    if (Check.tooDeep())
      throw std::invalid_argument("nested deeper than " +
                                  std::to_string(MaxCborNesting) + " levels");
  }
  return Json::from_cbor(Bytes);
}

} // namespace lavenderdale
