#pragma once

#include "proxystate.h"
#include "recorddecoder.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <memory>
#include <string>

namespace lavenderdale {

/// Exchanges host reports over UDP, and fetches the catalogue from another host
/// that reports a newer version.
class ReportExchange : public std::enable_shared_from_this<ReportExchange> {
public:
  /// How long a host waits for a newer catalogue from the store before it
  /// fetches it from another host. The store's watch delivers it within
  /// milliseconds.
  static constexpr std::chrono::milliseconds CatalogueFetchDelay{400};
  /// Timeout of that fetch.
  static constexpr std::chrono::milliseconds CatalogueFetchTimeout{800};
  /// Size of the receive buffer; no UDP datagram is longer.
  static constexpr std::size_t MaxReportBytes = 65536;

  /// \param Reports UDP endpoint where this host receives reports.
  /// \param Internal where this host serves its catalogue at CataloguePath,
  ///        as every host does.
  ReportExchange(const boost::asio::any_io_executor &Executor,
                 ProxyState &State, const RecordDecoder &Decoder,
                 Endpoint Reports, Endpoint Internal,
                 std::string CataloguePath);

  /// Errors: Unavailable if the endpoint cannot be bound.
  Result<void> start();
  void stop();
  /// Reports to the other hosts that this one is leaving, immediately and in
  /// all later reports.
  void leave();

private:
  boost::asio::awaitable<void> receive();
  boost::asio::awaitable<void> sendLoop();
  /// Sends the report to the hosts of batch \p Part, counted from 0, of \p
  /// Parts batches.
  void sendReports(std::size_t Part, std::size_t Parts);
  void fetchIfBehind(const HostReport &Report);
  boost::asio::awaitable<void> fetch(Endpoint From);

  boost::asio::any_io_executor Executor;
  ProxyState &State;
  const RecordDecoder &Decoder;
  const Endpoint Reports;
  const Endpoint Internal;
  const std::string CataloguePath;
  boost::asio::ip::udp::socket Socket;
  std::array<char, MaxReportBytes> Buffer{};
  std::optional<TimePoint> BehindSince;
  bool Fetching = false;
  bool Leaving = false;
  bool Stopped = false;
};

} // namespace lavenderdale
