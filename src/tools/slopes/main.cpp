#include "experiments.h"

#include "base/strictjson.h"

#include <json/value.h>

#include <getopt.h>

#include <iomanip>
#include <iostream>
#include <string>

using namespace lavenderdale;
using namespace lavenderdale::slopes;

namespace {

constexpr int ExitUsage = 1;

constexpr auto Usage = R"(Usage: lavenderdale-slopes [--json] [--only NAME]

Measures the decision libraries with passed-in time and fits a line to each
quantity. It opens no socket.

  -j, --json       one JSON object a line instead of a table
  -o, --only NAME  one of membership, configuration, placement, rates, groups
  -h, --help       print this text
)";

struct Experiment {
  const char *Name;
  std::vector<Series> (*Measure)();
};

constexpr Experiment Experiments[] = {{"membership", measureMembership},
                                      {"configuration", measureConfiguration},
                                      {"placement", measurePlacement},
                                      {"rates", measureRates},
                                      {"groups", measureGroups}};

void printJson(const Series &Each) {
  const Fit Line = Each.fit();
  Json::Value Value(Json::objectValue);
  Value["name"] = Each.Name;
  Value["size"] = Each.Size;
  Value["unit"] = Each.Unit;
  Value["slope"] = Line.Slope;
  Value["intercept"] = Line.Intercept;
  Value["rSquared"] = Line.RSquared;
  for (const Point &At : Each.Points) {
    Json::Value Pair(Json::arrayValue);
    Pair.append(At.Size);
    Pair.append(At.Value);
    Value["points"].append(Pair);
  }
  std::cout << writeCompactJson(Value) << std::endl;
}

void printTable(const Series &Each) {
  const Fit Line = Each.fit();
  std::cout << Each.Name << " [" << Each.Unit << "] = " << std::setprecision(4)
            << Line.Intercept << " + " << Line.Slope << " * " << Each.Size
            << ", r2 " << Line.RSquared << "\n  ";
  for (const Point &At : Each.Points)
    std::cout << " " << At.Size << ":" << At.Value;
  std::cout << std::endl;
}

} // namespace

int main(int Count, char **Arguments) {
  static const option Options[] = {{"json", no_argument, nullptr, 'j'},
                                   {"only", required_argument, nullptr, 'o'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
  bool AsJson = false;
  std::string Only;
  for (int Each = 0; Each != -1;) {
    Each = getopt_long(Count, Arguments, "jo:h", Options, nullptr);
    if (Each == 'j')
      AsJson = true;
    else if (Each == 'o')
      Only = optarg;
    else if (Each != -1) {
      std::cout << Usage;
      return Each == 'h' ? 0 : ExitUsage;
    }
  }
  bool Found = false;
  for (const Experiment &Each : Experiments) {
    if (!Only.empty() && Only != Each.Name)
      continue;
    Found = true;
    for (const Series &Measured : Each.Measure())
      (AsJson ? printJson : printTable)(Measured);
  }
  return Found ? 0 : ExitUsage;
}
