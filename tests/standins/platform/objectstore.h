#pragma once

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lavenderdale::standins {

/// An answer of the object API.
struct ApiAnswer {
  int Status = 200;
  Json::Value Body;
};

/// A "Status" object of the Kubernetes API conventions.
ApiAnswer apiFailure(int Code, const std::string &Reason,
                     const std::string &Message);

/// One line of a watch.
struct WatchEvent {
  std::uint64_t Version = 0;
  std::string Plural;
  std::string Line; ///< {"type","object"}, without a line end.
};

/// Objects with one global version. Each change raises it by one.
class ObjectStore {
public:
  /// \param HistoryLength number of changes that watches can go back.
  explicit ObjectStore(std::size_t HistoryLength);

  /// An empty \p Plural stands for all kinds.
  ApiAnswer list(const std::string &Plural) const;
  ApiAnswer get(const std::string &Plural, const std::string &Name) const;
  ApiAnswer create(const std::string &Plural, const Json::Value &Object);
  ApiAnswer update(const std::string &Plural, const std::string &Name,
                   const Json::Value &Object);
  ApiAnswer remove(const std::string &Plural, const std::string &Name,
                   const Json::Value &Options);

  std::uint64_t version() const { return this->Version; }

  /// Whether a watch can start after \p Since.
  bool hasHistorySince(std::uint64_t Since) const;

  /// Lines of the changes after \p Since.
  std::vector<std::string> eventsSince(const std::string &Plural,
                                       std::uint64_t Since) const;

  /// Lines that add each stored object, for a watch without a version.
  std::vector<std::string> eventsOfState(const std::string &Plural) const;

private:
  using Key = std::pair<std::string, std::string>;

  void record(const std::string &Plural, const char *Type,
              const Json::Value &Object);

  std::map<Key, Json::Value> Objects;
  std::deque<WatchEvent> History;
  std::size_t HistoryLength;
  std::uint64_t Version = 1;
};

} // namespace lavenderdale::standins
