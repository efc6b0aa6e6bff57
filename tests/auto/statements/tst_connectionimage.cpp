#include "statements/connectionimage.h"

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

// Guards against a statement that runs with the values of another session.
TEST_CASE("a connection takes over exactly the session's values",
          "[transaction-isolation]") {
  ConnectionImage Image;
  StatementNames Names;
  const SessionValues First{{"zone", "a"}, {"clerk", "7"}};
  CHECK(kindsOf(Image.adopt(First, nullptr, Names, false)) ==
        std::vector<Kind>{Kind::SetValue, Kind::SetValue});
  CHECK(Image.adopt(First, nullptr, Names, false).empty());
  const SessionValues Changed{{"zone", "b"}, {"clerk", "7"}};
  const auto Commands = Image.adopt(Changed, nullptr, Names, false);
  REQUIRE(Commands.size() == 1);
  CHECK(Commands[0].Name == "zone");
  CHECK(Commands[0].Argument == "b");
  // A value that the next session does not have can only be dropped with all.
  const SessionValues Fewer{{"zone", "b"}};
  CHECK(kindsOf(Image.adopt(Fewer, nullptr, Names, false)) ==
        std::vector<Kind>{Kind::Reset, Kind::SetValue});
}

// Guards against two sessions whose prepared names collide.
TEST_CASE("statements are named by definition and prepared once",
          "[transaction-isolation]") {
  ConnectionImage Image;
  StatementNames Names;
  const std::string Read = "READ q1";
  const std::string Write = "WRITE q1";
  CHECK(Names.nameOf(Read) != Names.nameOf(Write));
  CHECK(kindsOf(Image.adopt({}, &Read, Names, false)) ==
        std::vector<Kind>{Kind::Prepare});
  CHECK(Image.adopt({}, &Read, Names, false).empty());
  Image.forgetPrepared(Names.nameOf(Read));
  CHECK(Image.adopt({}, &Read, Names, false).size() == 1);
}

// A reset drops what is prepared, so the image must not claim it any more.
TEST_CASE("a reset forgets prepared statements", "[transaction-isolation]") {
  ConnectionImage Image;
  StatementNames Names;
  const std::string Read = "READ q1";
  Image.adopt({{"zone", "a"}}, &Read, Names, false);
  CHECK(kindsOf(Image.adopt({}, &Read, Names, false)) ==
        std::vector<Kind>{Kind::Reset, Kind::Prepare});
}

// A reset inside a transaction would end or corrupt it.
TEST_CASE("an open transaction is never reset", "[transaction-isolation]") {
  ConnectionImage Image;
  StatementNames Names;
  for (std::size_t I = 0; I <= ConnectionImage::MaxPrepared; ++I) {
    const std::string Definition = "READ q" + std::to_string(I);
    for (const UpstreamCommand &Each :
         Image.adopt({}, &Definition, Names, true))
      CHECK(Each.Type != Kind::Reset);
  }
  CHECK(Image.needsReset({}));
}
