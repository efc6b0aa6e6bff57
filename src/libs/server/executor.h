#pragma once

#include "daemoncontext.h"
#include "executionrequest.h"
#include "fleetview.h"
#include "http/httpclient.h"
#include "http/httpmessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavenderdale {

/// Finds the services of the groups whose upstreams this host holds or polls.
class GroupServices {
public:
  virtual ~GroupServices() = default;

  /// \returns nullptr if this host has no duties for \p Group.
  virtual std::shared_ptr<GroupService>
  find(const std::string &Group) const = 0;
};

/// Runs requests at a holder of their upstream: on this host, or on another one
/// over HTTP.
class Executor {
public:
  using FleetSource = std::function<FleetPointer()>;

  Executor(const DaemonContext &Context, const GroupServices &Groups,
           FleetSource Fleet);

  /// Runs \p Request at \p Host. May be called on any worker.
  boost::asio::awaitable<ExecutionResult> execute(std::string Host,
                                                  ExecutionRequest Request);

  /// Handles a request that another host forwarded.
  boost::asio::awaitable<HttpResponse> handleForwarded(HttpRequest Request);

private:
  boost::asio::awaitable<ExecutionResult>
  executeLocally(ExecutionRequest Request);
  boost::asio::awaitable<ExecutionResult> forward(Endpoint Peer,
                                                  ExecutionRequest Request);
  HttpClient &clientOf(const Endpoint &Peer);

  const DaemonContext &Context;
  const GroupServices &Groups;
  FleetSource Fleet;
  /// HTTP clients by worker; each map is used by its worker only.
  std::vector<std::map<Endpoint, std::unique_ptr<HttpClient>>> Clients;
};

} // namespace lavenderdale
