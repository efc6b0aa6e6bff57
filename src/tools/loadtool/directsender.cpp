#include "directsender.h"

namespace lavenderdale {
namespace {

namespace asio = boost::asio;

constexpr std::size_t MaxResultBytes = std::size_t{64} * 1024 * 1024;
constexpr int Ok = 200;

} // namespace

asio::awaitable<bool> DirectSender::open(TimePoint Deadline) {
  if (this->Connection && !this->Connection->isBroken())
    co_return true;
  ConnectOptions Options;
  Options.Address = this->Where.Address;
  Options.Port = this->Where.Port;
  Options.Database = "app";
  Options.User = "app";
  Options.ApplicationName = "lavenderdale-load";
  auto Opened = co_await PostgresConnection::open(Options, Deadline);
  if (Opened)
    this->Connection = std::move(Opened.value());
  co_return Opened.has_value();
}

asio::awaitable<LoadAnswer> DirectSender::send(LoadStatement Statement,
                                               TimePoint Deadline) {
  if (!co_await this->open(Deadline))
    co_return LoadAnswer{0, "no-answer", ""};
  std::vector<std::vector<lavenderdale::Statement>> Groups(1);
  Groups[0].push_back({Statement.Sql, {}});
  const auto Results = co_await this->Connection->run(std::move(Groups),
                                                      Deadline, MaxResultBytes);
  if (!Results)
    co_return LoadAnswer{0, std::string(errorAnswer(Results.error().Kind).Name),
                         ""};
  if (Results.value()[0][0].Failure)
    co_return LoadAnswer{0, "statement-failed", ""};
  co_return LoadAnswer{Ok, "", ""};
}

} // namespace lavenderdale
