#pragma once

#include "base/result.h"

namespace lavenderdale {

/// Makes the kernel drop new connection requests of a listening TCP socket.
/// Handshakes under way still complete. A dropped caller repeats its request
/// after a second and is refused by then, in place of a reset of a connection
/// that it already holds for open.
/// \param Listener native handle of the listening socket.
/// \returns Unavailable with the reason if the kernel takes no filter.
Result<void> dropNewHandshakes(int Listener);

} // namespace lavenderdale
