#include "objectfiles.h"

#include "base/strictjson.h"

#include <toml.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace lavenderdale {
namespace {

Error invalid(const std::string &What) {
  return failure(ErrorKind::InvalidCatalogue, What);
}

Json::Value fromToml(const toml::value &Value) {
  switch (Value.type()) {
  case toml::value_t::boolean:
    return Value.as_boolean();
  case toml::value_t::integer:
    return static_cast<Json::Int64>(Value.as_integer());
  case toml::value_t::floating:
    return Value.as_floating();
  case toml::value_t::string:
    return Value.as_string().str;
  case toml::value_t::array: {
    Json::Value Array(Json::arrayValue);
    for (const toml::value &Item : Value.as_array())
      Array.append(fromToml(Item));
    return Array;
  }
  case toml::value_t::table: {
    Json::Value Object(Json::objectValue);
    for (const auto &[Name, Item] : Value.as_table())
      Object[Name] = fromToml(Item);
    return Object;
  }
  default:
    // Dates have no place in the catalogue; the validation reports the text.
    return toml::format(Value);
  }
}

Result<Json::Value> parseText(const std::string &Text, bool IsToml) {
  if (!IsToml) {
    Result<Json::Value> Value = parseStrictJson(Text);
    if (!Value)
      return invalid(Value.error().Detail);
    return Value;
  }
  try {
    std::istringstream Stream(Text);
    return fromToml(toml::parse(Stream, "input"));
  } catch (const std::exception &Failure) {
    return invalid(std::string("invalid TOML: ") + Failure.what());
  }
}

Result<CatalogueObject> readOne(Json::Value Item) {
  if (Item.isObject() && Item.isMember("name") && Item["name"].isString()) {
    if (Item.isMember("metadata"))
      return invalid("name: expected either \"name\" or \"metadata\"");
    Item["metadata"]["name"] = Item["name"];
    Item.removeMember("name");
  }
  // The status belongs to the system, so that what "get" printed can be edited
  // and applied.
  if (Item.isObject())
    Item.removeMember("status");
  return CatalogueObject::fromJson(Item);
}

Result<std::vector<CatalogueObject>>
readFile(const std::filesystem::path &File) {
  std::ifstream Stream(File);
  const std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  if (!Stream.is_open() || Stream.bad())
    return invalid(File.string() + ": cannot be read");
  auto Objects = readObjectText(Text, File.extension() == ".toml");
  if (!Objects)
    return invalid(File.string() + ": " + Objects.error().Detail);
  return Objects;
}

Result<std::vector<std::filesystem::path>> filesOf(const std::string &Path) {
  std::error_code Failed;
  std::vector<std::filesystem::path> Files;
  if (!std::filesystem::is_directory(Path, Failed)) {
    Files.emplace_back(Path);
    return Files;
  }
  for (const auto &Item : std::filesystem::directory_iterator(Path, Failed))
    if (Item.path().extension() == ".json" ||
        Item.path().extension() == ".toml")
      Files.push_back(Item.path());
  if (Failed)
    return invalid(Path + ": " + Failed.message());
  std::sort(Files.begin(), Files.end());
  return Files;
}

} // namespace

Result<std::vector<CatalogueObject>> readObjectText(const std::string &Text,
                                                    bool IsToml) {
  BOOST_OUTCOME_TRY(const Json::Value Root, parseText(Text, IsToml));
  Json::Value Items(Json::arrayValue);
  if (Root.isArray())
    Items = Root;
  else if (Root.isObject() && Root["objects"].isArray())
    Items = Root["objects"];
  else if (Root.isObject() && Root["items"].isArray())
    Items = Root["items"];
  else
    Items.append(Root);
  std::vector<CatalogueObject> Objects;
  for (const Json::Value &Item : Items) {
    Result<CatalogueObject> Object = readOne(Item);
    if (!Object)
      return invalid("object " + std::to_string(Objects.size() + 1) + ": " +
                     Object.error().Detail);
    Objects.push_back(std::move(Object.value()));
  }
  return Objects;
}

Result<std::vector<CatalogueObject>> readObjectFiles(const std::string &Path) {
  BOOST_OUTCOME_TRY(const auto Files, filesOf(Path));
  std::vector<CatalogueObject> All;
  for (const std::filesystem::path &File : Files) {
    BOOST_OUTCOME_TRY(const auto Objects, readFile(File));
    All.insert(All.end(), Objects.begin(), Objects.end());
  }
  return All;
}

} // namespace lavenderdale
