#include "membershipcodec.h"

#include "base/objectreader.h"

#include <algorithm>
#include <array>
#include <limits>

namespace lavenderdale {
namespace {

constexpr std::uint64_t MaxNumber = std::numeric_limits<std::int64_t>::max();
// Well above the design size of 490 hosts, so that a fleet can grow.
constexpr std::size_t MaxHosts = 4096;
constexpr std::size_t MaxNameBytes = 256;
constexpr std::array<const char *, 3> StateNames = {"alive", "suspected",
                                                    "leaving"};

Json::Value number(std::uint64_t Value) {
  return {static_cast<Json::UInt64>(Value)};
}

Json::Value keyToJson(const HostKey &Key) {
  Json::Value Value(Json::objectValue);
  Value["name"] = Key.Name;
  Value["generation"] = number(Key.Generation);
  return Value;
}

HostKey readKey(ObjectReader &Reader) {
  HostKey Key;
  Key.Name = Reader.requiredString("name");
  if (Key.Name.empty() || Key.Name.size() > MaxNameBytes)
    Reader.reject("name", "a name of 1 to 256 bytes");
  Key.Generation = Reader.requiredUnsigned("generation", 0, MaxNumber);
  return Key;
}

Json::Value statusToJson(const HostStatus &Status) {
  Json::Value Value = keyToJson(Status.Key);
  Value["incarnation"] = number(Status.Incarnation);
  Value["state"] = StateNames[static_cast<std::size_t>(Status.State)];
  return Value;
}

HostStatus readStatus(ObjectReader &Reader) {
  HostStatus Status;
  Status.Key = readKey(Reader);
  Status.Incarnation = Reader.requiredUnsigned("incarnation", 0, MaxNumber);
  const std::string State = Reader.requiredString("state");
  const auto *Found = std::ranges::find(StateNames, State);
  if (Found == StateNames.end())
    Reader.reject("state", "alive, suspected or leaving");
  else
    Status.State = static_cast<HostState>(Found - StateNames.begin());
  return Status;
}

Json::Value memberToJson(const HostMember &Member) {
  Json::Value Value = keyToJson(Member.Key);
  Value["failureDomain"] = Member.FailureDomain;
  Value["address"] = Member.Address;
  Value["joined"] = number(Member.Joined);
  return Value;
}

HostMember readMember(ObjectReader &Reader) {
  HostMember Member;
  Member.Key = readKey(Reader);
  Member.FailureDomain = Reader.requiredString("failureDomain");
  Member.Address = Reader.requiredString("address");
  Member.Joined = Reader.requiredUnsigned("joined", 0, MaxNumber);
  return Member;
}

template <typename Item, typename Write>
Json::Value listToJson(const std::vector<Item> &Items, Write WriteItem) {
  Json::Value List(Json::arrayValue);
  for (const Item &Each : Items)
    List.append(WriteItem(Each));
  return List;
}

// Reads an array of objects, each with ReadItem.
template <typename Read>
auto readList(ObjectReader &Reader, const char *Name, std::size_t Max,
              Read ReadItem) {
  std::vector<decltype(ReadItem(Reader))> Items;
  const Json::Value &List = Reader.optionalArray(Name);
  if (List.size() > Max) {
    Reader.reject(Name, "at most " + std::to_string(Max) + " entries");
    return Items;
  }
  for (const Json::Value &Each : List) {
    ObjectReader ItemReader(Each, Reader.pathOf(Name));
    Items.push_back(ReadItem(ItemReader));
    if (!ItemReader.finish())
      Reader.reject(Name, "an array of valid entries");
  }
  return Items;
}

void writeGossip(Json::Value &Value, const GossipPayload &Gossip) {
  Value["sender"] = statusToJson(Gossip.Sender);
  Value["epoch"] = number(Gossip.Epoch);
  Value["configuration"] = number(Gossip.ConfigurationVersion);
  if (!Gossip.Updates.empty())
    Value["updates"] = listToJson(Gossip.Updates, statusToJson);
}

GossipPayload readGossip(ObjectReader &Reader) {
  GossipPayload Gossip;
  ObjectReader Sender(Reader.optionalObject("sender"), "sender");
  Gossip.Sender = readStatus(Sender);
  if (!Sender.finish())
    Reader.reject("sender", "a valid status");
  Gossip.Epoch = Reader.requiredUnsigned("epoch", 0, MaxNumber);
  Gossip.ConfigurationVersion =
      Reader.requiredUnsigned("configuration", 0, MaxNumber);
  Gossip.Updates = readList(Reader, "updates", MaxUpdates, readStatus);
  return Gossip;
}

std::vector<std::uint8_t> readContacts(ObjectReader &Reader) {
  std::vector<std::uint8_t> Contacts;
  const Json::Value &List = Reader.optionalArray("contacts");
  if (List.size() > MaxHosts)
    Reader.reject("contacts", "at most 4096 entries");
  for (const Json::Value &Age : List) {
    const bool Valid = Age.isUInt() && Age.asUInt() <= UnknownContact;
    if (!Valid)
      Reader.reject("contacts", "whole numbers from 0 to 255");
    Contacts.push_back(Valid ? static_cast<std::uint8_t>(Age.asUInt())
                             : UnknownContact);
  }
  return Contacts;
}

Json::Value removalToJson(const HostKey &Sender, std::uint64_t Epoch,
                          const std::vector<HostKey> &Hosts) {
  Json::Value Value(Json::objectValue);
  Value["sender"] = keyToJson(Sender);
  Value["epoch"] = number(Epoch);
  Value["hosts"] = listToJson(Hosts, keyToJson);
  return Value;
}

template <typename Message>
Result<Message> readRemoval(const Json::Value &Value,
                            std::vector<HostKey> Message::*Hosts) {
  ObjectReader Reader(Value, "");
  Message Read;
  ObjectReader Sender(Reader.optionalObject("sender"), "sender");
  Read.Sender = readKey(Sender);
  Read.Epoch = Reader.requiredUnsigned("epoch", 0, MaxNumber);
  Read.*Hosts = readList(Reader, "hosts", MaxHosts, readKey);
  BOOST_OUTCOME_TRY(Sender.finish());
  BOOST_OUTCOME_TRY(Reader.finish());
  return Read;
}

} // namespace

Json::Value toJson(const Heartbeat &Message) {
  Json::Value Value(Json::objectValue);
  writeGossip(Value, Message.Gossip);
  if (Message.WantsContacts)
    Value["wantsContacts"] = true;
  if (Message.Joining)
    Value["joining"] = memberToJson(*Message.Joining);
  return Value;
}

Json::Value toJson(const HeartbeatAnswer &Message) {
  Json::Value Value(Json::objectValue);
  writeGossip(Value, Message.Gossip);
  Value["renews"] = Message.RenewsLease;
  if (Message.AgreedToRemove)
    Value["agreedToRemove"] = true;
  if (!Message.Contacts.empty())
    Value["contacts"] = listToJson(
        Message.Contacts, [](std::uint8_t Age) { return Json::Value(Age); });
  return Value;
}

Json::Value toJson(const RemovalRequest &Message) {
  return removalToJson(Message.Sender, Message.Epoch, Message.Suspects);
}

Json::Value toJson(const RemovalAnswer &Message) {
  return removalToJson(Message.Sender, Message.Epoch, Message.Agreed);
}

Json::Value toJson(const MemberSet &Set) {
  Json::Value Value(Json::objectValue);
  Value["epoch"] = number(Set.Epoch);
  Value["members"] = listToJson(Set.Members, memberToJson);
  return Value;
}

Result<Heartbeat> heartbeatFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "");
  Heartbeat Message;
  Message.Gossip = readGossip(Reader);
  Message.WantsContacts = Reader.optionalBool("wantsContacts", false);
  if (Reader.has("joining")) {
    ObjectReader Joining(Reader.optionalObject("joining"), "joining");
    Message.Joining = readMember(Joining);
    BOOST_OUTCOME_TRY(Joining.finish());
    if (Message.Joining->Key != Message.Gossip.Sender.Key)
      Reader.reject("joining", "the sender's own entry");
  }
  BOOST_OUTCOME_TRY(Reader.finish());
  return Message;
}

Result<HeartbeatAnswer> heartbeatAnswerFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "");
  HeartbeatAnswer Message;
  Message.Gossip = readGossip(Reader);
  Message.RenewsLease = Reader.optionalBool("renews", false);
  Message.AgreedToRemove = Reader.optionalBool("agreedToRemove", false);
  Message.Contacts = readContacts(Reader);
  BOOST_OUTCOME_TRY(Reader.finish());
  return Message;
}

Result<RemovalRequest> removalRequestFromJson(const Json::Value &Value) {
  return readRemoval(Value, &RemovalRequest::Suspects);
}

Result<RemovalAnswer> removalAnswerFromJson(const Json::Value &Value) {
  return readRemoval(Value, &RemovalAnswer::Agreed);
}

Result<MemberSet> memberSetFromJson(const Json::Value &Value) {
  ObjectReader Reader(Value, "");
  MemberSet Set;
  Set.Epoch = Reader.requiredUnsigned("epoch", 1, MaxNumber);
  Set.Members = readList(Reader, "members", MaxHosts, readMember);
  BOOST_OUTCOME_TRY(Reader.finish());
  std::ranges::sort(Set.Members, {}, &HostMember::Key);
  const auto Duplicate = std::ranges::adjacent_find(
      Set.Members, [](const HostMember &Left, const HostMember &Right) {
        return Left.Key.Name == Right.Key.Name;
      });
  if (Duplicate != Set.Members.end())
    return failure(ErrorKind::BadRequest,
                   "members: " + Duplicate->Key.Name + " occurs twice");
  return Set;
}

} // namespace lavenderdale
