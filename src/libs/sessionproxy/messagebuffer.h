#pragma once

#include "limits/memorybudget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>

namespace lavenderdale {

/// Reads the messages of a caller, up to MessageEnd, and reserves memory before
/// it reads further. A large message is moved out of the buffer, not copied.
class MessageBuffer {
public:
  /// Size of the buffer at the first read. Doubled when it is full.
  static constexpr std::size_t FirstBytes = 512;
  /// Most bytes that are read at once, and so ahead of a message.
  static constexpr std::size_t MaxReadBytes = 65536;

  /// Reads one message.
  /// \param MaxBytes maximum length of the message with its end.
  /// \param Memory what the buffer is counted for; afterwards it counts the
  ///        message, too.
  /// \param Message receives the message without its end.
  /// \returns no error; not_found if the message is longer than \p MaxBytes;
  ///          no_buffer_space if there is no memory; the error of the socket.
  boost::asio::awaitable<boost::system::error_code>
  read(boost::asio::ip::tcp::socket &From, std::size_t MaxBytes,
       MemoryBudget::Account &Memory, std::string &Message);

  /// Returns the bytes that were received and do not belong to a message that
  /// was read.
  std::size_t pending() const { return this->End - this->Begin; }
  /// Returns the memory of the buffer, in bytes.
  std::size_t bytes() const { return this->Bytes.size(); }

private:
  void take(std::size_t Size, std::string &Message);

  std::string Bytes; ///< All of it may be written.
  std::size_t Begin = 0;
  std::size_t End = 0; ///< Of what was received.
};

} // namespace lavenderdale
