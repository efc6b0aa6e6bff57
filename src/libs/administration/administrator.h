#pragma once

#include "reports.h"

#include "base/timepoint.h"
#include "catalogue/changeplan.h"
#include "platform/platformclient.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace lavenderdale {

/// The commands of lavenderctl. Each blocks until it is done or the deadline
/// passed.
class Administrator {
public:
  /// \param Deadline of the whole command, waiting for hosts included.
  Administrator(boost::asio::ip::tcp::endpoint Platform, TimePoint Deadline);

  /// Shows what apply() would do.
  Report plan(const std::vector<CatalogueObject> &Desired,
              MissingObjects Missing);

  /// Validates everything, then writes each step conditional on the version
  /// seen. A desired object that names a version is only applied to it.
  /// \param Wait whether to wait until all hosts show the new version.
  Report apply(const std::vector<CatalogueObject> &Desired,
               MissingObjects Missing, bool Wait);

  /// Shows one object, the objects of a kind, or all.
  Report get(std::optional<ObjectKind> Kind, const std::string &Name);

  /// Creates a key. Its text is only in this report; the platform gets the
  /// hash.
  Report grantKey(const std::string &WorkspaceName);

  Report withdrawKey(const std::string &Id, bool Wait);
  Report listKeys();

  /// Creates a signing secret for session tokens, named by UTC time so that the
  /// newest, which signs, sorts last. The secret is in no report. Refused when
  /// a stored name sorts after the new one.
  Report createSecret(std::chrono::system_clock::time_point Now);

  /// Lists the names of the signing secrets.
  Report listSecrets();

  /// Stores the first status of a group. Refused when it has one.
  /// \param Primary an upstream of the group.
  /// \param Term PostgreSQL timeline of the primary, at least 1.
  Report initGroup(const std::string &Name, const std::string &Primary,
                   std::uint64_t Term);

  Report status();
  Report explain(const ExplainedRequest &Request);

private:
  struct Planned;

  template <typename T> Result<T> run(PlatformClient::Call<T> Call);
  Result<ObjectList> listAll();
  Result<Planned> makePlan(const std::vector<CatalogueObject> &Desired,
                           MissingObjects Missing);
  Result<std::uint64_t> write(const Change &Step);
  Report create(ObjectKind Kind, const std::string &Name, Json::Value Spec);
  Report lostRace(const Change &Step, const Error &Failure);
  void waitForHosts(std::uint64_t Version, const std::string &Stored,
                    Report &Outcome);

  boost::asio::io_context Io{1};
  PlatformClient Client;
  TimePoint Deadline;
};

} // namespace lavenderdale
