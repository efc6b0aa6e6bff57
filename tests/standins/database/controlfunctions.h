#pragma once

#include "databasestate.h"
#include "sqlresult.h"

#include <functional>
#include <map>

namespace lavenderdale::standin {

/// What the control functions of one SQLite connection refer to.
struct ControlContext {
  DatabaseState &State;
  /// Nothing for replay, where functions must not fail.
  SessionInfo *Session = nullptr;
  /// Values of SET, by lower-case name.
  std::map<std::string, std::string> SessionSettings;
  bool ReadOnly = false; ///< Of the current transaction.
  /// The failure of the last function that failed.
  std::optional<SqlFailure> Failure;
};

/// SQLite subtype that marks the results of functions of type boolean.
inline constexpr unsigned BooleanSubtype = 'b';

/// Adds PostgreSQL's control functions and views to a SQLite connection.
/// \param Context has to outlive \p Handle.
void addControlFunctions(sqlite3 *Handle, ControlContext &Context);

/// The value of a setting as current_setting() gives it.
std::optional<std::string> settingValue(ControlContext &Context,
                                        const std::string &Name);

} // namespace lavenderdale::standin
