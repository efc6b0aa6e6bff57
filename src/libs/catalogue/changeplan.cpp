#include "changeplan.h"

#include "base/strictjson.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace lavenderdale {
namespace {

constexpr std::array<std::string_view, 3> ActionNames = {"create", "update",
                                                         "delete"};

using ObjectIndex =
    std::map<std::pair<ObjectKind, std::string>, const CatalogueObject *>;

std::string joinPath(const std::string &Path, const std::string &Name) {
  return Path.empty() ? Name : Path + "." + Name;
}

std::string itemPath(std::string Path, const std::string &Name) {
  Path += "[";
  Path += Name;
  Path += "]";
  return Path;
}

bool isNamedArray(const Json::Value &Value) {
  return Value.isArray() &&
         std::all_of(Value.begin(), Value.end(), [](const Json::Value &Item) {
           return Item.isObject() && Item["name"].isString();
         });
}

Json::Value byName(const Json::Value &Array) {
  Json::Value Items(Json::objectValue);
  for (const Json::Value &Item : Array)
    Items[Item["name"].asString()] = Item;
  return Items;
}

class Comparison {
public:
  void compare(const std::string &Path, const Json::Value &Before,
               const Json::Value &After) {
    // By text, because jsoncpp tells signed from unsigned numbers.
    if (writeCompactJson(Before) == writeCompactJson(After))
      return;
    if (Before.isObject() && After.isObject())
      return this->compareObjects(Path, Before, After);
    const bool SameItems = Before.isArray() && isNamedArray(Before) &&
                           After.isArray() && isNamedArray(After);
    if (SameItems && byName(Before) != byName(After))
      return this->compareItems(Path, byName(Before), byName(After));
    this->Changes.push_back({Path, Before, After});
  }

  std::vector<MemberChange> Changes;

private:
  void compareObjects(const std::string &Path, const Json::Value &Before,
                      const Json::Value &After) {
    for (const std::string &Name : namesOf(Before, After))
      this->compare(joinPath(Path, Name), Before[Name], After[Name]);
  }

  void compareItems(const std::string &Path, const Json::Value &Before,
                    const Json::Value &After) {
    for (const std::string &Name : namesOf(Before, After))
      this->compare(itemPath(Path, Name), Before[Name], After[Name]);
  }

  static std::set<std::string> namesOf(const Json::Value &Before,
                                       const Json::Value &After) {
    std::set<std::string> Names;
    for (const Json::Value *Value : {&Before, &After})
      for (const std::string &Name : Value->getMemberNames())
        Names.insert(Name);
    return Names;
  }
};

std::string valueText(const Json::Value &Value) {
  if (Value.isNull())
    return "(none)";
  if (!Value.isDouble() || Value.isInt64())
    return writeCompactJson(Value);
  // The shortest digits that give the same number: 0.1, not 0.100...01.
  std::array<char, 32> Digits{};
  const auto Written = std::to_chars(
      Digits.data(), Digits.data() + Digits.size(), Value.asDouble());
  return {Digits.data(), Written.ptr};
}

// Groups and workspaces before the routes that name them; keys with them.
int creationRank(ObjectKind Kind) { return Kind == ObjectKind::Route ? 1 : 0; }

int rank(const Change &Step) {
  const int Rank = creationRank(Step.Object.Kind);
  return Step.Action == ChangeAction::Delete ? 3 - Rank : Rank;
}

bool isPrunable(ObjectKind Kind) {
  return Kind == ObjectKind::Workspace || Kind == ObjectKind::Route ||
         Kind == ObjectKind::Group;
}

ObjectIndex indexOf(const std::vector<CatalogueObject> &Objects) {
  ObjectIndex Index;
  for (const CatalogueObject &Object : Objects)
    Index[{Object.Kind, Object.Name}] = &Object;
  return Index;
}

Change creation(const CatalogueObject &Desired, const Json::Value &Spec) {
  Change Step{ChangeAction::Create, Desired, {}};
  Step.Object.Version = 0;
  Step.Object.Spec = Spec;
  Step.Object.Status = Json::Value(Json::objectValue);
  Step.Members = compareMembers(Json::Value(Json::objectValue), Spec);
  return Step;
}

Change update(const CatalogueObject &Stored, const Json::Value &Spec) {
  // A stored spec that is invalid is compared as it stands.
  const Result<Json::Value> Before = normalizedSpec(Stored);
  Change Step{ChangeAction::Update, Stored, {}};
  Step.Object.Spec = Spec;
  Step.Members = compareMembers(Before ? Before.value() : Stored.Spec, Spec);
  return Step;
}

Change deletion(const CatalogueObject &Stored) {
  return {ChangeAction::Delete, Stored,
          compareMembers(Stored.Spec, Json::Value(Json::objectValue))};
}

} // namespace

std::string_view toString(ChangeAction Action) {
  return ActionNames[static_cast<std::size_t>(Action)];
}

std::vector<MemberChange> compareMembers(const Json::Value &Before,
                                         const Json::Value &After) {
  Comparison Work;
  Work.compare("", Before, After);
  return std::move(Work.Changes);
}

Result<std::vector<Change>>
planChanges(const std::vector<CatalogueObject> &Current,
            const std::vector<CatalogueObject> &Desired,
            MissingObjects Missing) {
  const ObjectIndex Stored = indexOf(Current);
  std::set<std::pair<ObjectKind, std::string>> Seen;
  std::vector<Change> Changes;
  for (const CatalogueObject &Object : Desired) {
    if (!Seen.emplace(Object.Kind, Object.Name).second)
      return failure(ErrorKind::InvalidCatalogue,
                     Object.label() + ": expected once, found twice");
    BOOST_OUTCOME_TRY(const Json::Value Spec, normalizedSpec(Object));
    const auto Found = Stored.find({Object.Kind, Object.Name});
    if (Found == Stored.end()) {
      Changes.push_back(creation(Object, Spec));
      continue;
    }
    Change Step = update(*Found->second, Spec);
    if (!Step.Members.empty())
      Changes.push_back(std::move(Step));
  }
  if (Missing == MissingObjects::Delete)
    for (const CatalogueObject &Object : Current)
      if (isPrunable(Object.Kind) && !Seen.contains({Object.Kind, Object.Name}))
        Changes.push_back(deletion(Object));
  std::stable_sort(Changes.begin(), Changes.end(),
                   [](const Change &Left, const Change &Right) {
                     return rank(Left) < rank(Right);
                   });
  return Changes;
}

std::string describe(const std::vector<Change> &Changes) {
  std::string Text;
  for (const Change &Step : Changes) {
    Text += std::string(toString(Step.Action)) + " " + Step.Object.label();
    if (Step.Object.Version != 0)
      Text += " (version " + std::to_string(Step.Object.Version) + ")";
    Text += "\n";
    for (const MemberChange &Member : Step.Members)
      Text += "  " + Member.Path + ": " + valueText(Member.Before) + " -> " +
              valueText(Member.After) + "\n";
  }
  return Text;
}

Json::Value toJson(const std::vector<Change> &Changes) {
  Json::Value Steps(Json::arrayValue);
  for (const Change &Step : Changes) {
    Json::Value Item(Json::objectValue);
    Item["action"] = std::string(toString(Step.Action));
    Item["object"] = Step.Object.label();
    Item["version"] = static_cast<Json::UInt64>(Step.Object.Version);
    Item["members"] = Json::Value(Json::arrayValue);
    for (const MemberChange &Member : Step.Members) {
      Json::Value Entry(Json::objectValue);
      Entry["path"] = Member.Path;
      Entry["before"] = Member.Before;
      Entry["after"] = Member.After;
      Item["members"].append(Entry);
    }
    Steps.append(Item);
  }
  return Steps;
}

} // namespace lavenderdale
