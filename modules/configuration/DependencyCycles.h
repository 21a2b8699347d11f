#pragma once

#include <map>
#include <string>
#include <vector>

namespace fireflytrail::configuration {

/** Finds cycles in a graph of services. */
class DependencyCycles
{
public:
  /** Services and the services that each depends on. */
  using Graph = std::map<std::string, std::vector<std::string>>;

  /**
   * Returns one cycle for each back edge of a depth-first search, each as the
   * list of its services in dependency order. Empty if and only if the graph
   * has no cycle. Edges to services outside the graph are ignored. Thread-safe.
   */
  static std::vector<std::vector<std::string>> Find(const Graph& aGraph);
};

} // namespace fireflytrail::configuration
