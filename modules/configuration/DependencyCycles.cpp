#include "configuration/DependencyCycles.h"

#include <algorithm>
#include <set>

namespace fireflytrail::configuration {

namespace {

class CycleSearch
{
public:
  explicit CycleSearch(const DependencyCycles::Graph& aGraph)
    : graph(aGraph)
  {
  }

  std::vector<std::vector<std::string>> Run()
  {
    for (const auto& [service, dependencies] : this->graph) {
      Visit(service);
    }
    return std::move(this->cycles);
  }

private:
  // The recursion depth is bounded by the maximum number of services in a text.
  void Visit(const std::string& aService)
  {
    const auto found = this->graph.find(aService);
    if (found == this->graph.end()) {
      return;
    }
    const auto position = std::ranges::find(this->path, aService);
    if (position != this->path.end()) {
      this->cycles.emplace_back(position, this->path.end());
      return;
    }
    if (!this->visited.insert(aService).second) {
      return;
    }
    this->path.push_back(aService);
    for (const std::string& dependency : found->second) {
      Visit(dependency);
    }
    this->path.pop_back();
  }

  const DependencyCycles::Graph& graph;
  std::set<std::string> visited;
  std::vector<std::string> path;
  std::vector<std::vector<std::string>> cycles;
};

} // namespace

std::vector<std::vector<std::string>>
DependencyCycles::Find(const Graph& aGraph)
{
  return CycleSearch(aGraph).Run();
}

} // namespace fireflytrail::configuration
