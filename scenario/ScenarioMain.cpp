#include "scenario/Scenario.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

DEFINE_uint64(seed, 1, "seed of the random numbers");

namespace {

boost::json::object
ReadScript(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot read the file");
  }
  std::ostringstream text;
  text << file.rdbuf();
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return boost::json::parse(text.str(), {}, options).as_object();
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("[--seed N] FILE...: runs scenario scripts");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  if (aArgumentCount < 2) {
    std::cerr << "no script file given\n";
    return 2;
  }
  bool passed = true;
  for (int index = 1; index < aArgumentCount; ++index) {
    try {
      const auto result = fireflytrail::scenario::RunScenario(
        ReadScript(aArguments[index]), FLAGS_seed);
      passed = passed && result.at("passed").as_bool();
      std::cout << boost::json::serialize(result) << '\n';
    } catch (const std::exception& error) {
      std::cerr << aArguments[index] << ": " << error.what() << '\n';
      return 2;
    }
  }
  return passed ? 0 : 1;
}
