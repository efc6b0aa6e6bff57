#pragma once

#include "cataloguelag.h"
#include "proxystate.h"
#include "recorddecoder.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <memory>
#include <set>
#include <string>

namespace lavenderdale {

/// Exchanges host reports over UDP, and fetches the catalogue from another host
/// that reports a newer version.
class ReportExchange : public std::enable_shared_from_this<ReportExchange> {
public:
  /// Timeout of fetching the catalogue from another host.
  static constexpr std::chrono::milliseconds CatalogueFetchTimeout{800};
  /// When a host does not answer, the paths to all hosts of its failure domain
  /// are checked, unless something arrived from them in the last RecentContact.
  /// Load pattern: a network partition cuts dozens of hosts off at once.
  /// Without the check, statements find them one after the other, each by a
  /// timeout.
  static constexpr std::chrono::milliseconds RecentContact{50};
  /// Time for the answers, after each of the tries. Hosts with little processor
  /// time need up to a tenth of a second.
  static constexpr std::chrono::milliseconds PathCheckTimeout{120};
  static constexpr int PathCheckTries = 2;
  /// Pause before the paths of the same domain are checked again.
  static constexpr std::chrono::milliseconds PathCheckPause{1000};
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
  /// Checks the paths to the failure domains of hosts that did not answer. To
  /// be called often.
  void checkSuspectDomains();
  /// Reports to the other hosts that this one is leaving, immediately and in
  /// all later reports.
  void leave();

private:
  boost::asio::awaitable<void> receive();
  boost::asio::awaitable<void> sendLoop();
  /// Sends the report to the hosts of batch \p Part, counted from 0, of \p
  /// Parts batches.
  void sendReports(std::size_t Part, std::size_t Parts);
  void sendTo(const std::string &Name, const Endpoint &Where,
              const std::string &Bytes);
  std::string encodeOwnReport(bool WantsAnswer);
  boost::asio::awaitable<void> checkPaths(std::string FailureDomain);
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
  CatalogueLag Lag;
  std::set<std::string> CheckedDomains; ///< Being checked, or lately.
  bool Fetching = false;
  bool Leaving = false;
  bool Stopped = false;
};

} // namespace lavenderdale
