#include "messagereader.h"

#include "http/resumewith.h"
#include "protocols.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>

namespace lavenderdale {

namespace asio = boost::asio;

asio::awaitable<boost::system::error_code>
readMessage(asio::ip::tcp::socket &From, std::string &Buffer,
            std::size_t MaxBytes, std::string &Message) {
  boost::system::error_code Failure;
  const std::size_t Size = co_await asio::async_read_until(
      From, asio::dynamic_buffer(Buffer, MaxBytes), MessageEnd,
      resumeWith(Failure));
  if (Failure)
    co_return Failure;
  Message.assign(Buffer, 0, Size - MessageEnd.size());
  Buffer.erase(0, Size);
  co_return Failure;
}

} // namespace lavenderdale
