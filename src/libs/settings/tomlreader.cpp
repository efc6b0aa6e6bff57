#include "tomlreader.h"

#include <toml.hpp>

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <sstream>

namespace lavenderdale {
namespace {

constexpr std::size_t MaxProblems = 100;

std::string describe(const toml::value &Value) {
  std::ostringstream Text;
  if (Value.is_string())
    return '"' + Value.as_string().str + '"';
  if (Value.is_integer())
    Text << Value.as_integer();
  else if (Value.is_floating())
    Text << Value.as_floating();
  else if (Value.is_boolean())
    Text << (Value.as_boolean() ? "true" : "false");
  else if (Value.is_array())
    Text << "an array of " << Value.as_array().size();
  else
    Text << (Value.is_table() ? "a table" : "a date or time");
  return Text.str();
}

std::optional<IpEndpoint> endpointIn(const toml::value &Value) {
  return Value.is_string() ? parseIpEndpoint(Value.as_string().str)
                           : std::nullopt;
}

std::string trim(const std::string &Text) {
  const auto First = Text.find_first_not_of(" \t\r[");
  if (First == std::string::npos)
    return {};
  const auto Last = Text.find_last_not_of(" \t\r]");
  return Text.substr(First, Last - First + 1);
}

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + '\n';
  return Text;
}

} // namespace

struct TomlReader::Private {
  std::string FileName;
  toml::value Root = toml::table();
  /// Without a parsed file, missing sections say nothing.
  bool Parsed = false;
  const toml::value *Section = nullptr;
  std::string SectionName;
  std::map<std::string, std::set<std::string>> Known;
  std::vector<std::pair<std::size_t, std::string>> Problems;

  void report(std::size_t Line, const std::string &Key,
              const std::string &Found, const std::string &Expected);
  void parse(const std::string &Text);
  bool recover(const toml::syntax_error &Fault,
               std::vector<std::string> &Lines);
  void reportUnknown();
  void reportUnknownKeys(const std::string &Name, const toml::value &Table);
  const toml::value *find(const char *Key);
  const toml::value *require(const char *Key, const std::string &Expected);
  std::string pathOf(const std::string &Key) const;
  void reject(const std::string &Key, const toml::value &Value,
              const std::string &Expected);
};

void TomlReader::Private::report(std::size_t Line, const std::string &Key,
                                 const std::string &Found,
                                 const std::string &Expected) {
  if (this->Problems.size() >= MaxProblems)
    return;
  this->Problems.emplace_back(
      Line, this->FileName + ":" + std::to_string(Line) + ": " + Key +
                ": found " + Found + ", expected " + Expected);
}

// Parsing starts again without the line of a doubled key, so that the
// problems behind it are found in the same run.
void TomlReader::Private::parse(const std::string &Text) {
  std::vector<std::string> Lines = splitLines(Text);
  while (this->Problems.size() < MaxProblems) {
    std::istringstream Stream(joinLines(Lines));
    try {
      this->Root = toml::parse(Stream, this->FileName);
      this->Parsed = true;
      return;
    } catch (const toml::syntax_error &Fault) {
      if (!this->recover(Fault, Lines))
        return;
    } catch (const std::exception &Fault) {
      this->report(1, "file", Fault.what(), "TOML");
      return;
    }
  }
}

// \returns whether the offending line was removed and parsing can go on.
bool TomlReader::Private::recover(const toml::syntax_error &Fault,
                                  std::vector<std::string> &Lines) {
  const std::size_t Line = Fault.location().line();
  const std::string What = Fault.what();
  if (Line == 0 || Line > Lines.size()) {
    this->report(1, "file", "text that is not TOML", "TOML");
    return false;
  }
  std::string &Content = Lines[Line - 1];
  const std::size_t Equals = Content.find('=');
  const std::string Key = trim(Content.substr(0, Equals));
  const bool Doubled = What.find("already exists") != std::string::npos;
  if (Doubled && Equals != std::string::npos) {
    this->report(Line, Key, "a doubled key", "each key once");
    Content.clear();
    return true;
  }
  this->report(Line, Key.empty() ? "file" : Key,
               Doubled ? "a doubled table" : trim(Content),
               Doubled ? "each table once" : "valid TOML");
  return false;
}

std::string TomlReader::Private::pathOf(const std::string &Key) const {
  return this->SectionName + "." + Key;
}

void TomlReader::Private::reject(const std::string &Key,
                                 const toml::value &Value,
                                 const std::string &Expected) {
  this->report(Value.location().line(), this->pathOf(Key), describe(Value),
               Expected);
}

const toml::value *TomlReader::Private::find(const char *Key) {
  this->Known[this->SectionName].insert(Key);
  if (!this->Section)
    return nullptr;
  const toml::table &Table = this->Section->as_table();
  const auto Found = Table.find(Key);
  return Found == Table.end() ? nullptr : &Found->second;
}

const toml::value *TomlReader::Private::require(const char *Key,
                                                const std::string &Expected) {
  const toml::value *Value = this->find(Key);
  if (!Value && this->Section)
    this->report(this->Section->location().line(), this->pathOf(Key), "nothing",
                 Expected);
  return Value;
}

void TomlReader::Private::reportUnknownKeys(const std::string &Name,
                                            const toml::value &Table) {
  for (const auto &[Key, Value] : Table.as_table())
    if (!this->Known[Name].contains(Key))
      this->report(Value.location().line(), std::string(Name).append(".") + Key,
                   describe(Value), "no such key");
}

void TomlReader::Private::reportUnknown() {
  for (const auto &[Name, Value] : this->Root.as_table()) {
    if (!this->Known.contains(Name))
      this->report(Value.location().line(), Name, describe(Value),
                   "no such section or key");
    else if (Value.is_table())
      this->reportUnknownKeys(Name, Value);
  }
}

TomlReader::TomlReader(const std::string &Text, std::string FileName)
    : D(std::make_unique<Private>()) {
  this->D->FileName = std::move(FileName);
  this->D->parse(Text);
}

TomlReader::~TomlReader() = default;

void TomlReader::enter(const char *Section, bool Required) {
  this->D->Section = nullptr;
  this->D->SectionName = Section;
  this->D->Known[Section];
  const toml::table &Root = this->D->Root.as_table();
  const auto Found = Root.find(Section);
  if (Found == Root.end()) {
    if (Required && this->D->Parsed)
      this->D->report(1, Section, "nothing", "a section");
    return;
  }
  if (!Found->second.is_table()) {
    this->D->report(Found->second.location().line(), Section,
                    describe(Found->second), "a section");
    return;
  }
  this->D->Section = &Found->second;
}

void TomlReader::requiredName(const char *Key, std::string &Target) {
  const std::string Expected = "a non-empty string without blanks";
  const toml::value *Value = this->D->require(Key, Expected);
  if (!Value)
    return;
  const bool Valid =
      Value->is_string() && !Value->as_string().str.empty() &&
      std::ranges::all_of(Value->as_string().str, [](unsigned char Character) {
        return std::isgraph(Character) != 0;
      });
  if (!Valid)
    return this->D->reject(Key, *Value, Expected);
  Target = Value->as_string().str;
}

void TomlReader::requiredEndpoint(const char *Key, IpEndpoint &Target) {
  const std::string Expected = "\"IP:PORT\" with a numeric IP";
  const toml::value *Value = this->D->require(Key, Expected);
  if (!Value)
    return;
  const std::optional<IpEndpoint> Endpoint = endpointIn(*Value);
  if (!Endpoint)
    return this->D->reject(Key, *Value, Expected);
  Target = *Endpoint;
}

void TomlReader::optionalEndpoint(const char *Key,
                                  std::optional<IpEndpoint> &Target) {
  const toml::value *Value = this->D->find(Key);
  if (!Value)
    return;
  const std::optional<IpEndpoint> Endpoint = endpointIn(*Value);
  if (!Endpoint || Endpoint->Port == 0)
    return this->D->reject(Key, *Value,
                           "\"IP:PORT\" with a numeric IP and a port from 1");
  Target = Endpoint;
}

void TomlReader::requiredEndpoints(const char *Key,
                                   std::vector<IpEndpoint> &Target) {
  const std::string Expected =
      "a non-empty array of \"IP:PORT\" with numeric IPs";
  const toml::value *Value = this->D->require(Key, Expected);
  if (!Value)
    return;
  if (!Value->is_array() || Value->as_array().empty())
    return this->D->reject(Key, *Value, Expected);
  std::vector<IpEndpoint> Read;
  for (const toml::value &Item : Value->as_array()) {
    const std::optional<IpEndpoint> Endpoint = endpointIn(Item);
    if (Endpoint && Endpoint->Port != 0)
      Read.push_back(*Endpoint);
    else
      this->D->reject(Key, Item,
                      "\"IP:PORT\" with a numeric IP and a port from 1");
  }
  Target = std::move(Read);
}

void TomlReader::optionalString(const char *Key, std::string &Target) {
  const toml::value *Value = this->D->find(Key);
  if (!Value)
    return;
  if (!Value->is_string())
    return this->D->reject(Key, *Value, "a string");
  Target = Value->as_string().str;
}

void TomlReader::optionalChoice(const char *Key,
                                std::initializer_list<const char *> Choices,
                                std::string &Target) {
  const toml::value *Value = this->D->find(Key);
  if (!Value)
    return;
  std::string Expected;
  for (const char *Choice : Choices) {
    if (Value->is_string() && Value->as_string().str == Choice) {
      Target = Choice;
      return;
    }
    Expected += (Expected.empty() ? "\"" : ", \"") + std::string(Choice) + '"';
  }
  this->D->reject(Key, *Value, "one of " + Expected);
}

void TomlReader::optionalUnsigned(const char *Key, std::uint64_t Min,
                                  std::uint64_t Max, std::uint64_t &Target) {
  const toml::value *Value = this->D->find(Key);
  if (!Value)
    return;
  if (Value->is_integer() && Value->as_integer() >= 0) {
    const auto Number = static_cast<std::uint64_t>(Value->as_integer());
    if (Number >= Min && Number <= Max) {
      Target = Number;
      return;
    }
  }
  this->D->reject(Key, *Value,
                  "a whole number from " + std::to_string(Min) + " to " +
                      std::to_string(Max));
}

void TomlReader::optionalMilliseconds(const char *Key,
                                      std::chrono::milliseconds Min,
                                      std::chrono::milliseconds Max,
                                      std::chrono::milliseconds &Target) {
  auto Count = static_cast<std::uint64_t>(Target.count());
  this->optionalUnsigned(Key, static_cast<std::uint64_t>(Min.count()),
                         static_cast<std::uint64_t>(Max.count()), Count);
  Target = std::chrono::milliseconds(Count);
}

void TomlReader::optionalNumber(const char *Key, double Min, double Max,
                                double &Target) {
  const toml::value *Value = this->D->find(Key);
  if (!Value)
    return;
  const bool Numeric = Value->is_integer() || Value->is_floating();
  const double Number = !Numeric ? 0
                        : Value->is_integer()
                            ? static_cast<double>(Value->as_integer())
                            : Value->as_floating();
  if (Numeric && Number >= Min && Number <= Max) {
    Target = Number;
    return;
  }
  std::ostringstream Expected;
  Expected << "a number from " << Min << " to " << Max;
  this->D->reject(Key, *Value, Expected.str());
}

Result<void> TomlReader::finish() {
  this->D->reportUnknown();
  if (this->D->Problems.empty())
    return success();
  std::ranges::stable_sort(this->D->Problems);
  std::string Text;
  for (const auto &[Line, Problem] : this->D->Problems)
    Text += (Text.empty() ? "" : "\n") + Problem;
  return failure(ErrorKind::InvalidSettings, Text);
}

} // namespace lavenderdale
