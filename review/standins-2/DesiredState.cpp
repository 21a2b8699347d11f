#include "DesiredState.h"

namespace fireflytrail::review {

std::string
MakeDesiredState(std::uint64_t aVersion,
                 const std::vector<Route>& aRoutes,
                 const std::vector<std::string>& aServices)
{
  std::string text = R"({"Version":"r)" + std::to_string(aVersion) +
                     R"(","BaseVersion":"r)" + std::to_string(aVersion - 1) +
                     R"(","Resources":[)";
  for (const Route& route : aRoutes) {
    text += R"({"EntryType":"Routes","Metadata":{"Name":"r-)" +
            route.prefix.substr(1, route.prefix.size() - 2) +
            R"("},"Spec":{"Host":"shop.example","PathPrefix":")" +
            route.prefix + R"(","Type":")" +
            (route.isIdempotent ? "idempotent" : "non_idempotent") +
            R"(","TimeoutMs":)" + std::to_string(route.timeoutMs) +
            R"(,"TargetLatencyMs":)" + std::to_string(route.goalMs) +
            R"(,"Priority":1,"Service":")" + route.service +
            R"(","MaxAttempts":2}},)";
  }
  for (const std::string& service : aServices) {
    text += R"({"EntryType":"Services","Metadata":{"Name":")" + service +
            R"("},"Spec":{"HealthCheckPath":"/health","MaxConnections":260,)"
            R"("Protocol":"h1","Tls":false,"SlowStartS":3.0,)"
            R"("WarmupPerS":5.4}},)";
  }
  return text + R"({"EntryType":"Limits","Metadata":{},"Spec":{)"
                R"("MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
                R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";
}

} // namespace fireflytrail::review
