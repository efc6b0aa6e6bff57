#pragma once

#include "scenario.h"

#include <variant>

namespace lavenderdale::matrix {

struct Unaffected {
  std::string_view Reason;
};
struct Covered {
  const Scenario *By;
};
struct NotCovered {
  std::string_view Reason;
};

/// One cell of the matrix and the text of its line in docs/FAULTS.md.
struct Row {
  Fault Injected;
  Step At;
  std::variant<Unaffected, Covered, NotCovered> Outcome;
  std::string_view Mechanism; ///< With its source file.
  std::string_view Tests;     ///< Codes of further test cases.
  std::string_view ProcessTests;
};

using Rows = std::vector<Row>;

Rows primaryCutOffRows();
Rows replicasBehindRows();
Rows proxyDiesRows();
Rows keysWithdrawnRows();
Rows platformDownRows();
Rows platformAnswersLostRows();
Rows holderPausedRows();
Rows operatorsRaceRows();
Rows silentConnectionsRows();
Rows domainsCutOffRows();

/// All cells, by fault and step.
Rows allRows();

/// A test case outside the matrix that a row names by its code.
struct TestCode {
  std::string_view Code;
  std::string_view File; ///< Below tests/auto.
  std::string_view Case;
};

const std::vector<TestCode> &testCodes();

/// The text of docs/FAULTS.md.
std::string pageText(const Rows &All);

} // namespace lavenderdale::matrix
