#include "listenon.h"

namespace lavenderdale {

Result<void> listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                      const Endpoint &Where, int Backlog) {
  using boost::asio::ip::tcp;
  boost::system::error_code Failure;
  const auto Address = boost::asio::ip::make_address(Where.Address, Failure);
  if (Failure)
    return failure(ErrorKind::Unavailable, "bad address " + Where.Address);
  const tcp::endpoint Local(Address, Where.Port);
  Acceptor.open(Local.protocol(), Failure);
  if (!Failure)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind(Local, Failure);
  if (!Failure)
    Acceptor.listen(Backlog, Failure);
  if (Failure)
    return failure(ErrorKind::Unavailable, "cannot listen on " +
                                               toString(Where) + ": " +
                                               Failure.message());
  return success();
}

} // namespace lavenderdale
