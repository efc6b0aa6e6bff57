#pragma once

#include "databaseoptions.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderdale::standin {

/// Reads the fields of one protocol message; reads past the end give zeros
/// and set a flag.
class MessageReader {
public:
  explicit MessageReader(std::string_view Body) : Body(Body) {}

  std::uint8_t byte();
  std::uint16_t int16();
  std::uint32_t int32();
  std::uint64_t int64();
  std::string text(); ///< Up to a zero byte.
  std::string bytes(std::size_t Count);
  bool isAtEnd() const { return this->Body.empty(); }
  bool isBad() const { return this->Bad; }

private:
  std::uint64_t number(std::size_t Bytes);

  std::string_view Body;
  bool Bad = false;
};

/// Builds the body of one protocol message.
class MessageWriter {
public:
  MessageWriter &byte(char Value);
  MessageWriter &int16(std::size_t Value);
  MessageWriter &int32(std::uint64_t Value);
  MessageWriter &int64(std::uint64_t Value);
  MessageWriter &text(std::string_view Value); ///< With a zero byte.
  MessageWriter &bytes(std::string_view Value);
  /// A length and the bytes, or length -1.
  MessageWriter &value(const std::optional<std::string> &Value);
  const std::string &body() const { return this->Body; }

private:
  std::string Body;
};

struct WireMessage {
  char Type = 0;
  std::string Body;
};

/// One socket with the framing of the PostgreSQL protocol, version 3.
/// Reads block; writes are buffered until flush().
class WireConnection {
public:
  /// Takes over the descriptor.
  explicit WireConnection(int Fd);
  ~WireConnection();
  WireConnection(const WireConnection &) = delete;
  WireConnection &operator=(const WireConnection &) = delete;

  /// Connects to a numeric address.
  /// \returns the descriptor, or -1.
  static int connectTo(const std::string &Address, std::uint16_t Port,
                       std::chrono::milliseconds Timeout);

  /// Reads a message without a type byte (startup).
  std::optional<std::string> readUntyped();

  /// \returns the next message, or nothing if the connection ended.
  std::optional<WireMessage> readMessage();

  /// Waits for data.
  /// \returns false if none came within \p Timeout.
  bool waitReadable(std::chrono::milliseconds Timeout);

  void put(char Type, const std::string &Body);
  void putRaw(std::string_view Bytes) { this->Output.append(Bytes); }

  /// \returns false if the connection ended.
  bool flush();

  int fd() const { return this->Fd; }

private:
  bool readExact(std::size_t Count, std::string &Target);

  int Fd;
  std::string Input;
  std::size_t InputUsed = 0;
  std::string Output;
};

} // namespace lavenderdale::standin
