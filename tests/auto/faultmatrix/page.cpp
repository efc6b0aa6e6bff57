#include "row.h"

namespace lavenderdale::matrix {
namespace {

constexpr std::string_view Introduction = R"(# Faults and what covers them

Each fault of section 1.4 of [design.md](design.md) against each step of a request and each control action. The tables
are written from `tests/auto/faultmatrix`, which runs the named scenario for each cell and fails when this page differs:

    LAVENDERDALE_WRITE_FAULTS_PAGE=docs/FAULTS.md build/release/tests/auto/faultmatrix/tst_faultmatrix

Paths are below `src/libs`. A scenario drives the libraries' decisions with fakes and a passed-in clock, injects the fault
at the step and checks the property in its row below. The shell in `src/libs/server`, which connects the libraries, has
no unit test: where the mechanism is in `server/`, a scenario covers the decision behind it only. "Other tests" names
further test cases by the codes listed at the end. The column "process test" names tests of `tests/process` as
FILE: TEST, without the prefix `test_`; they run real processes. Not covered by any process test: a change of members
during a promotion.

The matrix also runs pairs of faults at one step, from seeds that it prints. `LAVENDERDALE_MATRIX_PAIRS` sets how many
settings of each pair, `LAVENDERDALE_MATRIX_RUNS` how many of each cell, and `LAVENDERDALE_SEED` the first seed. Further
combinations are drawn at random by E4 (delays, losses, rejoins of old primaries), N1 (pauses, crashes, restarts,
leaves, cuts, lost messages, lost platform answers) and X1 (all orders of messages, losses and repeats within bounds).
Checks that these searches can fail at all: "scenarios find a mechanism that is left out"
(faultmatrix/tst_faultmatrix.cpp), "the exploration detects injected defects" and "random event orders detect a
platform that ignores versions" (failover/tst_promotionexploration.cpp), "the search finds the fault when a rule is left out"
(limits/tst_rateexhaustive.cpp), "the checks of the retry table detect wrong rows" (retry/tst_retrytable.cpp).
)";

struct OutcomeText {
  std::string operator()(const Unaffected &U) const {
    return "not affected: " + std::string(U.Reason);
  }
  std::string operator()(const Covered &C) const {
    return "`" + std::string(C.By->Name) + "`";
  }
  std::string operator()(const NotCovered &N) const {
    return "not covered: " + std::string(N.Reason);
  }
};

/// A cell and its separator; no space follows an empty one.
std::string cell(std::string_view Text) {
  return (Text.empty() ? "" : " " + std::string(Text)) + " |";
}

std::string line(const Row &R) {
  return "|" + cell(nameOf(R.At)) + cell(std::visit(OutcomeText(), R.Outcome)) +
         cell(R.Mechanism) + cell(R.Tests) + cell(R.ProcessTests) + "\n";
}

std::string scenarioLines(const Rows &All) {
  std::string Text;
  std::vector<const Scenario *> Listed;
  for (const Row &R : All) {
    const auto *By = std::get_if<Covered>(&R.Outcome);
    if (!By || std::find(Listed.begin(), Listed.end(), By->By) != Listed.end())
      continue;
    Listed.push_back(By->By);
    Text += "|" + cell("`" + std::string(By->By->Name) + "`") +
            cell(By->By->Property) + cell(By->By->Meaning) + "\n";
  }
  return Text;
}

} // namespace

Rows allRows() {
  Rows All;
  for (const auto &Part :
       {primaryCutOffRows(), replicasBehindRows(), proxyDiesRows(),
        keysWithdrawnRows(), platformDownRows(), platformAnswersLostRows(),
        holderPausedRows(), operatorsRaceRows(), silentConnectionsRows(),
        domainsCutOffRows()})
    All.insert(All.end(), Part.begin(), Part.end());
  return All;
}

std::string pageText(const Rows &All) {
  std::string Text(Introduction);
  Text += "\n## Scenarios\n\n| scenario | properties | what it checks |\n"
          "| --- | --- | --- |\n" +
          scenarioLines(All);
  for (std::size_t F = 0; F < FaultCount; ++F) {
    Text += "\n## " + std::string(FaultTitles[F]) +
            "\n\n| step | outcome | mechanism | other tests | process test |\n"
            "| --- | --- | --- | --- | --- |\n";
    for (const Row &R : All)
      if (R.Injected == static_cast<Fault>(F))
        Text += line(R);
  }
  Text += "\n## Test codes\n\n| code | file below `tests/auto` | test case |\n"
          "| --- | --- | --- |\n";
  for (const TestCode &Each : testCodes())
    Text += "|" + cell(Each.Code) + cell(Each.File) + cell(Each.Case) + "\n";
  return Text;
}

} // namespace lavenderdale::matrix
