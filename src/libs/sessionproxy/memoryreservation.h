#pragma once

#include "limits/memorybudget.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>

namespace lavenderdale {

/// Longest wait of a connection for memory, and the time between two tries.
constexpr std::chrono::milliseconds MaxMemoryWait{1000};
constexpr std::chrono::milliseconds MemoryRetryInterval{100};

/// Reserves memory as MemoryBudget::Account::reserve() does, and waits up to
/// MaxMemoryWait until others give some back. To be called after reserve() did
/// not grant it at once.
/// \returns whether it was granted; otherwise the refusal is counted.
boost::asio::awaitable<bool> awaitMemory(MemoryBudget::Account &For,
                                         MemoryBudget::Use Use,
                                         std::size_t Bytes);

} // namespace lavenderdale
