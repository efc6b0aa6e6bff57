#pragma once

#include <cstddef>
#include <string>

namespace lavenderdale {

/// Class of a queued request, in the order of service.
enum class QueueClass { Urgent, Standard, Lookup };
inline constexpr std::size_t QueueClassCount = 3;

/// The class and flow of a FairQueue in which an item waits. Items of one flow
/// are served in order of arrival.
struct QueuePlace {
  QueueClass Class = QueueClass::Standard;
  std::string Flow; ///< The flows of a class are served by round robin.
};

/// Assigns the items of a FairQueue to classes and flows. The length limit of a
/// workspace and the deadlines of items apply under every discipline.
class QueueDiscipline {
public:
  virtual ~QueueDiscipline() = default;

  /// Returns the class and flow for an item of \p Workspace in \p Class.
  virtual QueuePlace placeOf(const std::string &Workspace,
                             QueueClass Class) const = 0;
};

/// Returns the default discipline: a flow for each workspace in each class.
const QueueDiscipline &fairDiscipline();

/// Returns a discipline that serves all items in order of arrival. Only used as
/// a baseline in measurements.
const QueueDiscipline &fifoDiscipline();

} // namespace lavenderdale
