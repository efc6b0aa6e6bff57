#include "handshakefilter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <string>

namespace lavenderdale {
namespace {

// RFC 9293, section 3.1: the control bits of a segment.
constexpr std::uint32_t ControlBitsOffset = 13;
constexpr std::uint32_t SynBit = 0x02;
constexpr std::uint32_t WholePacket = 0xffffffff;

} // namespace

Result<void> dropNewHandshakes(int Listener) {
  std::array<sock_filter, 4> Code{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, ControlBitsOffset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, SynBit, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, WholePacket),
  }};
  const sock_fprog Program{static_cast<unsigned short>(Code.size()),
                           Code.data()};
  if (::setsockopt(Listener, SOL_SOCKET, SO_ATTACH_FILTER, &Program,
                   sizeof(Program)) != 0)
    return failure(ErrorKind::Unavailable,
                   std::string("no filter on the listener: ") +
                       std::strerror(errno));
  return success();
}

} // namespace lavenderdale
