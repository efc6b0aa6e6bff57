#include "statements/upstreamconnectionstate.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

using Kind = UpstreamCommand::Kind;

std::vector<Kind> kindsOf(const std::vector<UpstreamCommand> &Commands) {
  std::vector<Kind> Kinds;
  Kinds.reserve(Commands.size());
  for (const UpstreamCommand &Each : Commands)
    Kinds.push_back(Each.Type);
  return Kinds;
}

} // namespace

// Guards against statements that run with values of another session.
TEST_CASE("a connection gets exactly the values of the session",
          "[transaction-isolation]") {
  UpstreamConnectionState State;
  StatementNames Names;
  const SessionValues First{{"zone", "a"}, {"clerk", "7"}};
  CHECK(kindsOf(State.switchTo(First, nullptr, Names, false)) ==
        std::vector<Kind>{Kind::SetValue, Kind::SetValue});
  CHECK(State.switchTo(First, nullptr, Names, false).empty());
  const SessionValues Changed{{"zone", "b"}, {"clerk", "7"}};
  const auto Commands = State.switchTo(Changed, nullptr, Names, false);
  REQUIRE(Commands.size() == 1);
  CHECK(Commands[0].Name == "zone");
  CHECK(Commands[0].Argument == "b");
  // A single value cannot be removed; only a reset removes all of them.
  const SessionValues Fewer{{"zone", "b"}};
  CHECK(kindsOf(State.switchTo(Fewer, nullptr, Names, false)) ==
        std::vector<Kind>{Kind::Reset, Kind::SetValue});
}

// Guards against conflicts between sessions that use the same name for
// different prepared statements.
TEST_CASE("prepared statements are named by definition and prepared once",
          "[transaction-isolation]") {
  UpstreamConnectionState State;
  StatementNames Names;
  const std::string Read = "READ q1";
  const std::string Write = "WRITE q1";
  CHECK(Names.nameOf(Read) != Names.nameOf(Write));
  CHECK(kindsOf(State.switchTo({}, &Read, Names, false)) ==
        std::vector<Kind>{Kind::Prepare});
  CHECK(State.switchTo({}, &Read, Names, false).empty());
  State.forgetPrepared(Names.nameOf(Read));
  CHECK(State.switchTo({}, &Read, Names, false).size() == 1);
}

// A reset removes the prepared statements of the connection, so they must be
// prepared again.
TEST_CASE("statements are prepared again after a reset",
          "[transaction-isolation]") {
  UpstreamConnectionState State;
  StatementNames Names;
  const std::string Read = "READ q1";
  State.switchTo({{"zone", "a"}}, &Read, Names, false);
  CHECK(kindsOf(State.switchTo({}, &Read, Names, false)) ==
        std::vector<Kind>{Kind::Reset, Kind::Prepare});
}

// A reset within a transaction would end or corrupt the transaction.
TEST_CASE("a connection with an open transaction is never reset",
          "[transaction-isolation]") {
  UpstreamConnectionState State;
  StatementNames Names;
  for (std::size_t I = 0; I <= UpstreamConnectionState::MaxPrepared; ++I) {
    const std::string Definition = "READ q" + std::to_string(I);
    for (const UpstreamCommand &Each :
         State.switchTo({}, &Definition, Names, true))
      CHECK(Each.Type != Kind::Reset);
  }
  CHECK(State.needsReset({}));
}
