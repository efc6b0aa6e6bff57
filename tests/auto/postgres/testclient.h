#pragma once

#include "postgres/postgresconnection.h"
#include "standins/database/standindatabase.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <stdexcept>
#include <thread>

namespace lavenderdale::test {

using namespace std::chrono_literals;

// Far longer than any step takes, so that no verdict depends on speed.
inline constexpr auto Patience = 30s;
inline constexpr std::size_t Megabyte = 1 << 20;

inline TimePoint later(Duration Wait = Patience) {
  return std::chrono::steady_clock::now() + Wait;
}

/// Runs a coroutine to its end.
template <typename T>
T await(boost::asio::io_context &Context, boost::asio::awaitable<T> Work) {
  // co_spawn() needs a default constructor, which Result does not have.
  std::optional<T> Value;
  const auto Store = [&]() -> boost::asio::awaitable<void> {
    Value.emplace(co_await std::move(Work));
  };
  auto Future =
      boost::asio::co_spawn(Context, Store(), boost::asio::use_future);
  Context.restart();
  while (Future.wait_for(0s) != std::future_status::ready)
    Context.run_one();
  Future.get();
  return std::move(*Value);
}

/// A blocking client for tests.
class TestClient {
public:
  explicit TestClient(const standin::StandinDatabase &Database,
                      std::string ApplicationName = "test")
      : TestClient(Database.port(), std::move(ApplicationName)) {}

  explicit TestClient(std::uint16_t Port, std::string ApplicationName = "test")
      : Opened(await(this->Context, PostgresConnection::open(
                                        {"127.0.0.1", Port, "test", "test",
                                         std::move(ApplicationName)},
                                        later()))) {}

  /// Whether and how open() failed.
  const Result<std::unique_ptr<PostgresConnection>> &opened() const {
    return this->Opened;
  }

  PostgresConnection &connection() {
    // No Catch2 assertions here: tests call this from several threads.
    if (!this->Opened)
      throw std::runtime_error(this->Opened.error().Detail);
    return *this->Opened.value();
  }

  Result<PostgresConnection::GroupResults>
  tryRun(std::vector<std::vector<Statement>> Groups,
         TimePoint Deadline = later(), std::size_t MaxBytes = Megabyte) {
    return await(this->Context,
                 this->connection().run(std::move(Groups), Deadline, MaxBytes));
  }

  PostgresConnection::GroupResults
  run(std::vector<std::vector<Statement>> Groups) {
    auto Results = this->tryRun(std::move(Groups));
    if (!Results)
      throw std::runtime_error(Results.error().Detail);
    return std::move(Results.value());
  }

  /// Runs one statement as one group.
  StatementResult one(std::string Sql,
                      std::vector<std::optional<std::string>> Params = {}) {
    return this->run({{{std::move(Sql), std::move(Params)}}})[0][0];
  }

  /// The SQLSTATE of one statement, or "" if it succeeded.
  std::string stateOf(const std::string &Sql) {
    const StatementResult Result = this->one(Sql);
    return Result.Failure ? Result.Failure->SqlState : "";
  }

  /// The first value of the first row; "NULL" for null, "none" for no row.
  std::string value(const std::string &Sql) {
    const StatementResult Result = this->one(Sql);
    if (Result.Failure)
      return "error " + Result.Failure->SqlState;
    return Result.Rows.empty() ? "none" : Result.Rows[0][0].value_or("NULL");
  }

  /// Polls until the value is as expected.
  bool waitFor(const std::string &Sql, const std::string &Expected) {
    const TimePoint End = later();
    while (this->value(Sql) != Expected) {
      if (std::chrono::steady_clock::now() > End)
        return false;
      std::this_thread::sleep_for(2ms);
    }
    return true;
  }

private:
  boost::asio::io_context Context;
  Result<std::unique_ptr<PostgresConnection>> Opened;
};

/// Options of a database with one table.
inline standin::DatabaseOptions withTable(std::string PrimaryConninfo = {}) {
  standin::DatabaseOptions Options;
  Options.InitSql = "CREATE TABLE entry (id INTEGER PRIMARY KEY, note TEXT)";
  Options.PrimaryConninfo = std::move(PrimaryConninfo);
  return Options;
}

} // namespace lavenderdale::test
