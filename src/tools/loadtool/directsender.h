#pragma once

#include "loadoptions.h"
#include "postgres/postgresconnection.h"
#include "statementsender.h"

#include <memory>

namespace lavenderdale {

/// Sends statements straight to a database.
class DirectSender : public StatementSender {
public:
  explicit DirectSender(const Endpoint &Where) : Where(Where) {}

  boost::asio::awaitable<bool> open(TimePoint Deadline) override;
  boost::asio::awaitable<LoadAnswer> send(LoadStatement Statement,
                                          TimePoint Deadline) override;

private:
  Endpoint Where;
  std::unique_ptr<PostgresConnection> Connection;
};

} // namespace lavenderdale
