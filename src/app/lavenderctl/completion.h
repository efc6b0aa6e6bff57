#pragma once

namespace lavenderdale {

/// The script that "lavenderctl completion bash" prints.
const char *bashCompletion();

} // namespace lavenderdale
