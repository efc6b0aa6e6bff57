#include "membership/membershipcodec.h"

#include <catch2/catch.hpp>

using namespace lavenderdale;

namespace {

const HostKey Key{"host-1", 1'700'000'000'123};

GossipPayload makeGossip() {
  return {{Key, 3, HostState::Leaving},
          7,
          99,
          {{{"host-2", 5}, 1, HostState::Suspected}}};
}

} // namespace

TEST_CASE("membership messages are unchanged after conversion to JSON and "
          "back") {
  const Heartbeat Sent{makeGossip(), true,
                       HostMember{Key, "d", "1.2.3.4:5", 0}};
  const auto Read = heartbeatFromJson(toJson(Sent));
  REQUIRE(Read.has_value());
  CHECK(Read.value().Gossip.Updates == Sent.Gossip.Updates);
  CHECK(Read.value().Gossip.Sender == Sent.Gossip.Sender);
  CHECK(Read.value().Joining == Sent.Joining);
  CHECK(Read.value().WantsContacts);

  const HeartbeatAnswer Answer{makeGossip(), true, true, {0, 3, 255}};
  const auto ReadAnswer = heartbeatAnswerFromJson(toJson(Answer));
  REQUIRE(ReadAnswer.has_value());
  CHECK(ReadAnswer.value().Contacts == Answer.Contacts);
  CHECK(ReadAnswer.value().AgreedToRemove);
  CHECK(ReadAnswer.value().Gossip.ConfigurationVersion == 99);

  const auto Request =
      removalRequestFromJson(toJson(RemovalRequest{Key, 7, {{"x", 2}}}));
  REQUIRE(Request.has_value());
  CHECK(Request.value().Suspects == std::vector<HostKey>{{"x", 2}});
  const MemberSet Set{4, {{Key, "d", "1.2.3.4:5", 2}}};
  CHECK(memberSetFromJson(toJson(Set)).value() == Set);
}

// Guards against invalid messages from faulty or unknown peers.
TEST_CASE("malformed membership messages are rejected") {
  Json::Value Value = toJson(Heartbeat{makeGossip(), false, {}});
  Value["sender"]["state"] = "gone";
  CHECK_FALSE(heartbeatFromJson(Value).has_value());
  Value = toJson(Heartbeat{makeGossip(), false, {}});
  Value["extra"] = 1;
  CHECK_FALSE(heartbeatFromJson(Value).has_value());
  Value.removeMember("extra");
  for (int I = 0; I < 10; ++I)
    Value["updates"].append(Value["updates"][0]);
  CHECK_FALSE(heartbeatFromJson(Value).has_value());
  Value = toJson(HeartbeatAnswer{makeGossip(), true, false, {1}});
  Value["contacts"].append(256);
  CHECK_FALSE(heartbeatAnswerFromJson(Value).has_value());
  Value =
      toJson(MemberSet{4, {{Key, "d", "a", 2}, {{"host-1", 9}, "d", "a", 2}}});
  CHECK_FALSE(memberSetFromJson(Value).has_value());
}
