#include "messagebuffer.h"

#include "http/resumewith.h"
#include "memoryreservation.h"
#include "protocols.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace lavenderdale {

namespace asio = boost::asio;
using boost::system::error_code;

// Moves the first Size bytes and their MessageEnd out of the buffer.
void MessageBuffer::take(std::size_t Size, std::string &Message) {
  const std::size_t Next = this->Begin + Size + MessageEnd.size();
  if (Size <= MemoryBudget::OrdinaryBytes) {
    Message.assign(this->Bytes, this->Begin, Size);
    this->Begin = Next;
    if (this->Begin != this->End)
      return;
    this->Begin = this->End = 0;
    if (this->Bytes.size() > MemoryBudget::OrdinaryBytes)
      this->Bytes = {};
    return;
  }
  std::string Rest(this->Bytes, Next, this->End - Next);
  this->Bytes.resize(this->Begin + Size);
  this->Bytes.erase(0, this->Begin);
  Message = std::exchange(this->Bytes, std::move(Rest));
  this->Begin = 0;
  this->End = this->Bytes.size();
}

asio::awaitable<error_code> MessageBuffer::read(asio::ip::tcp::socket &From,
                                                std::size_t MaxBytes,
                                                MemoryBudget::Account &Memory,
                                                std::string &Message) {
  std::size_t Searched = this->Begin;
  while (true) {
    const std::size_t Found = std::string_view(this->Bytes.data(), this->End)
                                  .find(MessageEnd, Searched);
    if (Found != std::string_view::npos &&
        Found + MessageEnd.size() - this->Begin <= MaxBytes) {
      this->take(Found - this->Begin, Message);
      Memory.touch();
      co_return error_code();
    }
    if (Found != std::string_view::npos || this->pending() >= MaxBytes)
      co_return asio::error::not_found;
    if (this->End == this->Bytes.size() && this->Begin > 0) {
      const std::size_t Size = this->Bytes.size();
      this->Bytes.erase(0, this->Begin);
      this->End -= std::exchange(this->Begin, 0);
      this->Bytes.resize(Size);
    }
    // The first half of the last bytes may be that of MessageEnd.
    Searched =
        std::max(this->Begin, this->End - std::min<std::size_t>(this->End, 1));
    if (this->End == this->Bytes.size()) {
      const std::size_t Larger =
          std::min(MaxBytes, std::max(FirstBytes, 2 * this->Bytes.size()));
      if (Memory.reserve(MemoryBudget::Use::Receiving, Larger) !=
              MemoryBudget::Grant::Given &&
          !co_await awaitMemory(Memory, MemoryBudget::Use::Receiving, Larger))
        co_return asio::error::no_buffer_space;
      this->Bytes.resize(Larger);
      Memory.touch();
    }
    error_code Failure;
    const std::size_t Size = co_await From.async_read_some(
        asio::buffer(this->Bytes.data() + this->End,
                     std::min(this->Bytes.size() - this->End, MaxReadBytes)),
        resumeWith(Failure));
    this->End += Size;
    if (Failure)
      co_return Failure;
  }
}

} // namespace lavenderdale
