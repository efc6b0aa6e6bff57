#pragma once

#include <cstddef>
#include <string>

namespace lavenderdale {

/// Class of a queued request, in the order of service.
enum class QueueClass { Urgent, Standard, Lookup };
inline constexpr std::size_t QueueClassCount = 3;

/// The part of a FairQueue in which an item waits. Items of one place are
/// served in order of arrival.
struct QueuePlace {
  QueueClass Class = QueueClass::Standard;
  std::string Flow; ///< The flows of a class take turns.
};

/// Chooses the place of each item in a FairQueue. The length limit of a
/// workspace and the deadlines of items hold under every discipline.
class QueueDiscipline {
public:
  virtual ~QueueDiscipline() = default;

  virtual QueuePlace placeOf(const std::string &Workspace,
                             QueueClass Class) const = 0;
};

/// A flow for each workspace in each class.
const QueueDiscipline &fairDiscipline();

/// One queue for all items, in order of arrival. For measurements only.
const QueueDiscipline &fifoDiscipline();

} // namespace lavenderdale
