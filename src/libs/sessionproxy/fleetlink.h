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

/// Exchanges reports between hosts over UDP, and fetches a newer catalogue
/// from a host that has one.
class FleetLink : public std::enable_shared_from_this<FleetLink> {
public:
  /// The store's watch brings a new catalogue to all hosts within
  /// milliseconds; a host that still lacks it after this time asks another.
  static constexpr std::chrono::milliseconds FetchAfter{400};
  static constexpr std::chrono::milliseconds FetchLimit{800};
  static constexpr std::size_t MaxReportBytes = 65536;

  /// \param Reports UDP endpoint of this host.
  /// \param Internal where this host serves its catalogue at CataloguePath,
  ///        as every host does.
  FleetLink(const boost::asio::any_io_executor &Executor, ProxyState &State,
            const RecordDecoder &Decoder, Endpoint Reports, Endpoint Internal,
            std::string CataloguePath);

  /// Errors: Unavailable if the endpoint cannot be bound.
  Result<void> start();
  void stop();
  /// Tells the other hosts that this one is leaving, at once and from now on.
  void leave();

private:
  boost::asio::awaitable<void> receive();
  boost::asio::awaitable<void> sendLoop();
  /// Sends the report to every host of part \p Part of \p Parts.
  void sendReports(std::size_t Part, std::size_t Parts);
  void considerFetch(const HostReport &Report);
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
