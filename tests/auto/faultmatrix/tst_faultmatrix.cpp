#include "row.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

using namespace lavenderdale::matrix;

namespace {

constexpr unsigned DefaultRuns = 1;
constexpr unsigned DefaultPairRuns = 1;

unsigned fromEnvironment(const char *Name, unsigned Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr
             ? Default
             : static_cast<unsigned>(std::strtoul(Text, nullptr, 10));
}

unsigned firstSeed() { return fromEnvironment("LAVENDERDALE_SEED", 1); }

const Scenario *scenarioOf(const Row &R) {
  const auto *By = std::get_if<Covered>(&R.Outcome);
  return By ? By->By : nullptr;
}

/// Runs a scenario with \p Count seeds from \p Seed on.
void requireKept(const Scenario &By, Setting At, unsigned Count) {
  std::string Names;
  for (const Fault F : At.Faults)
    Names += (Names.empty() ? "" : " + ") + std::string(titleOf(F));
  for (unsigned I = 0; I < Count; ++I, ++At.Seed) {
    const std::string Violation = By.Run(At);
    if (Violation.empty())
      continue;
    FAIL_CHECK(By.Name << " at " << nameOf(At.At) << ", " << Names << ", seed "
                       << At.Seed << ": " << Violation);
    return;
  }
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

const std::string SourceRoot = LAVENDERDALE_SOURCE_DIR;

/// The text of a test file with its split string literals joined.
std::string joinedSource(const std::string &Path) {
  std::string Joined;
  std::istringstream Lines(readFile(Path));
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t First = Line.find_first_not_of(' ');
    const bool Continues = First != std::string::npos && Line[First] == '"' &&
                           Joined.ends_with('"');
    if (Continues) {
      Joined.pop_back();
      Joined += Line.substr(First + 1);
    } else {
      Joined += "\n" + Line;
    }
  }
  return Joined;
}

/// A covered cell of each scenario's cells, for pairs.
using CellsOfStep =
    std::map<std::pair<Step, const Scenario *>, std::vector<Fault>>;

CellsOfStep coveredCells(const Rows &All) {
  CellsOfStep Cells;
  for (const Row &R : All)
    if (const Scenario *By = scenarioOf(R))
      Cells[{R.At, By}].push_back(R.Injected);
  return Cells;
}

unsigned walkPairs(const CellsOfStep &Cells, unsigned Runs) {
  unsigned Pairs = 0;
  for (const auto &[Place, Faults] : Cells)
    for (std::size_t I = 0; I < Faults.size(); ++I)
      for (std::size_t J = I + 1; J < Faults.size(); ++J) {
        requireKept(*Place.second,
                    {{Faults[I], Faults[J]}, Place.first, firstSeed() + Pairs},
                    Runs);
        ++Pairs;
      }
  return Pairs;
}

} // namespace

// Guards against a fault that nobody thought of at some step.
TEST_CASE("the matrix has each cell once") {
  std::set<std::pair<Fault, Step>> Cells;
  for (const Row &R : allRows()) {
    INFO(titleOf(R.Injected) << ", " << nameOf(R.At));
    CHECK(Cells.emplace(R.Injected, R.At).second);
    if (const auto *U = std::get_if<Unaffected>(&R.Outcome))
      CHECK_FALSE(U->Reason.empty());
    else
      CHECK_FALSE(R.Mechanism.empty());
    if (const auto *N = std::get_if<NotCovered>(&R.Outcome))
      CHECK_FALSE(N->Reason.empty());
  }
  CHECK(Cells.size() == FaultCount * StepCount);
}

// Guards against any property that does not hold under a fault, or under two
// faults at one step.
TEST_CASE("each cell keeps its property, and each pair of faults",
          "[fencing][not-run][at-most-once][answers][read-your-writes][rate]"
          "[keys][configuration][upstream-drain][planned-stop]") {
  const Rows All = allRows();
  std::map<std::size_t, unsigned> Outcomes;
  const unsigned Runs =
      fromEnvironment("LAVENDERDALE_MATRIX_RUNS", DefaultRuns);
  for (const Row &R : All) {
    ++Outcomes[R.Outcome.index()];
    if (const Scenario *By = scenarioOf(R))
      requireKept(*By, {{R.Injected}, R.At, firstSeed()}, Runs);
  }
  const unsigned PairRuns =
      fromEnvironment("LAVENDERDALE_MATRIX_PAIRS", DefaultPairRuns);
  const unsigned Pairs = walkPairs(coveredCells(All), PairRuns);
  std::cout << All.size() << " cells: " << Outcomes[1] << " covered, "
            << Outcomes[0] << " not affected, " << Outcomes[2]
            << " not covered; " << Runs << " runs a cell; " << Pairs
            << " pairs walked, " << PairRuns << " runs each; first seed "
            << firstSeed() << '\n';
  CHECK(Pairs > 0);
}

// Guards against scenarios that hold whatever the product does.
TEST_CASE("scenarios find a mechanism that is left out") {
  constexpr unsigned Seeds = 10;
  std::map<const Scenario *, std::set<std::string>> Found;
  for (const auto &[Place, Faults] : coveredCells(allRows())) {
    std::set<std::string> &Violations = Found[Place.second];
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed)
      for (const Fault F : Faults) {
        if (!Violations.empty())
          break;
        const std::string Violation =
            Place.second->Run({{F}, Place.first, Seed, true});
        if (!Violation.empty() && Violation != "the step was not reached")
          Violations.insert(Violation);
      }
  }
  for (const auto &[By, Violations] : Found) {
    INFO(By->Name);
    CHECK_FALSE(Violations.empty());
    for (const std::string &Each : Violations)
      std::cout << By->Name << ": " << Each << '\n';
  }
}

// Guards against a page that tells something else than the tests do.
TEST_CASE("docs/FAULTS.md is written from the matrix") {
  const std::string Text = pageText(allRows());
  if (const char *Path = std::getenv("LAVENDERDALE_WRITE_FAULTS_PAGE"))
    std::ofstream(Path) << Text;
  CHECK(readFile(SourceRoot + "/docs/FAULTS.md") == Text);
}

// Guards against a code that names a test case which is gone.
TEST_CASE("test codes name test cases that exist") {
  std::set<std::string_view> Codes;
  for (const TestCode &Each : testCodes()) {
    INFO(Each.Code);
    Codes.insert(Each.Code);
    const std::string Source =
        joinedSource(SourceRoot + "/tests/auto/" + std::string(Each.File));
    CHECK(Source.find("TEST_CASE(\"" + std::string(Each.Case) + "\"") !=
          std::string::npos);
  }
  for (const Row &R : allRows()) {
    std::istringstream Named{std::string(R.Tests)};
    for (std::string Code; std::getline(Named >> std::ws, Code, ',');) {
      INFO(Code);
      CHECK(Codes.contains(Code));
    }
  }
}
