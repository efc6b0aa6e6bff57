#pragma once

#include "base/timepoint.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace lavenderdale {

/// A statement as the load tool sends it.
struct LoadStatement {
  std::string Sql;
  bool ReadOnly = false;
};

/// What came back for one statement.
struct LoadAnswer {
  int Status = 0;       ///< HTTP status; 200 for a direct answer; 0 for none.
  std::string Kind;     ///< Problem kind, "no-answer", or empty on success.
  std::string ServedBy; ///< "primary", "replica", or empty if not known.
};

/// Sends statements one at a time over a kept-alive connection.
class StatementSender {
public:
  virtual ~StatementSender() = default;

  /// Opens the connection if there is none.
  /// \returns whether it is open.
  virtual boost::asio::awaitable<bool> open(TimePoint Deadline) = 0;

  /// Sends \p Statement and waits for the answer until \p Deadline.
  virtual boost::asio::awaitable<LoadAnswer> send(LoadStatement Statement,
                                                  TimePoint Deadline) = 0;
};

} // namespace lavenderdale
