#include "socketoptions.h"

#include "telemetry/logging.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>

namespace lavenderdale {
namespace {

void setOption(int Socket, int Level, int Name, int Value) {
  if (setsockopt(Socket, Level, Name, &Value, sizeof(Value)) != 0)
    logDebug("event=socket_option_failed option=" + std::to_string(Name) +
             " error=\"" + std::strerror(errno) + "\"");
}

} // namespace

void setLivenessOptions(boost::asio::ip::tcp::socket &Socket,
                        std::chrono::milliseconds Limit) {
  constexpr int Probes = 2;
  const int Handle = Socket.native_handle();
  const auto Seconds =
      static_cast<int>(std::max<std::int64_t>(1, Limit.count() / 1000));
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Limit.count()));
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, Seconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, Seconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, Probes);
}

bool closedByPeer(boost::asio::ip::tcp::socket &Socket) {
  pollfd Query{Socket.native_handle(), POLLRDHUP, 0};
  return poll(&Query, 1, 0) > 0;
}

} // namespace lavenderdale
