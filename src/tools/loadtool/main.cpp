#include "loadoptions.h"
#include "loadrunner.h"

#include "base/strictjson.h"

#include <iostream>

using namespace lavenderdale;

int main(int Count, char **Arguments) {
  constexpr int UsageError = 2;
  const auto Load = parseLoadOptions(Count, Arguments);
  if (!Load)
    return UsageError;
  if (Load->Help) {
    std::cout << loadHelpText();
    return 0;
  }
  const Json::Value Summary = LoadRunner(*Load).run();
  if (Load->Json)
    std::cout << writeCompactJson(Summary) << '\n';
  else
    std::cout << summaryTable(Summary);
  return 0;
}
