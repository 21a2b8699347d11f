#include "proxy/CallerIdentity.h"

#include "gateway/CallerDialect.h"
#include "routing/HttpRouteTable.h"
#include "routing/KeyTable.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::proxy;
using core::ErrorKind;

namespace {

/** A version of the configuration, with one public and one other route. */
struct Version
{
  Version(std::uint64_t aNumber,
          std::vector<configuration::Organisation> aOrganisations)
    : configuration(Make(aNumber, std::move(aOrganisations)))
    , routes(this->configuration)
    , keys(this->configuration, 7)
  {
  }

  static std::shared_ptr<const configuration::RouteConfiguration> Make(
    std::uint64_t aNumber,
    std::vector<configuration::Organisation> aOrganisations)
  {
    auto result = std::make_shared<configuration::RouteConfiguration>();
    result->version = aNumber;
    result->organisations = std::move(aOrganisations);
    for (const bool isPublic : { false, true }) {
      configuration::HttpRoute route;
      route.host = "h";
      route.pathPrefix = isPublic ? "/public/" : "/";
      route.isPublic = isPublic;
      result->routes.push_back(route);
    }
    return result;
  }

  ErrorKind Apply(gateway::CallRequest& aCall, bool aIsPublic = false) const
  {
    gateway::CallerDialect dialect;
    dialect.removeIdentity = [](boost::beast::http::fields& aFields) {
      aFields.erase("Key");
      aFields.erase("Organisation");
    };
    return CallerIdentity::Apply(
      { this->routes, this->keys }, dialect, aIsPublic, aCall);
  }

  std::shared_ptr<const configuration::RouteConfiguration> configuration;
  routing::HttpRouteTable routes;
  routing::KeyTable keys;
};

gateway::CallRequest
MakeCall(const std::optional<std::string>& aKey,
         const std::string& aTarget = "/x")
{
  gateway::CallRequest call;
  call.host = "h";
  call.target = aTarget;
  call.key = aKey;
  call.fields.set("Key", aKey.value_or(""));
  call.fields.set("Organisation", "forged");
  call.fields.set("Other", "kept");
  return call;
}

} // namespace

// Guards against a key or a forged organisation that reaches a server, and
// against a request that is run without a key or for another organisation.
BOOST_AUTO_TEST_CASE(KeyNamesOrganisation)
{
  const Version version(1, { { "one", { "k1" }, 2 }, { "two", { "k2" }, 0 } });
  auto known = MakeCall("k1");
  BOOST_TEST((version.Apply(known) == ErrorKind::None));
  BOOST_TEST(known.organisation == "one");
  BOOST_TEST(known.organisationPriority == 2U);
  auto onPublicRoute = MakeCall("k2", "/public/x");
  BOOST_TEST((version.Apply(onPublicRoute, true) == ErrorKind::None));
  BOOST_TEST(onPublicRoute.organisation == "two");
  auto unknownOnPublicRoute = MakeCall("k3", "/public/x");
  BOOST_TEST((version.Apply(unknownOnPublicRoute, true) == ErrorKind::None));
  BOOST_TEST(unknownOnPublicRoute.organisation.empty());
  for (const auto* call : { &known, &onPublicRoute, &unknownOnPublicRoute }) {
    BOOST_TEST(call->fields.count("Key") == 0U);
    BOOST_TEST(call->fields.count("Organisation") == 0U);
    BOOST_TEST(call->fields["Other"] == "kept");
  }
  auto unknown = MakeCall("k3");
  BOOST_TEST((version.Apply(unknown) == ErrorKind::UnknownKey));
  auto missing = MakeCall(std::nullopt);
  BOOST_TEST((version.Apply(missing) == ErrorKind::UnknownKey));
}

// Guards against changing requests where the configuration has no
// organisations.
BOOST_AUTO_TEST_CASE(FieldsStayWithoutOrganisations)
{
  auto call = MakeCall("k1");
  BOOST_TEST((Version(1, {}).Apply(call) == ErrorKind::None));
  BOOST_TEST(call.organisation.empty());
  BOOST_TEST(call.fields["Key"] == "k1");
  BOOST_TEST(call.fields["Organisation"] == "forged");
}

// Guards against a request that waits and then runs with a key that a new
// configuration has withdrawn or given to another organisation, or without a
// key that it now needs.
BOOST_AUTO_TEST_CASE(NewConfigurationIsAppliedToRequestsThatWait)
{
  auto call = MakeCall("k1");
  BOOST_TEST((Version(1, {}).Apply(call) == ErrorKind::None));
  BOOST_TEST(
    (Version(2, { { "one", { "k1" }, 0 } }).Apply(call) == ErrorKind::None));
  BOOST_TEST(call.organisation == "one");
  BOOST_TEST(call.fields.count("Key") == 0U);
  const Version moved(3, { { "two", { "k1" }, 0 } });
  BOOST_TEST((moved.Apply(call) == ErrorKind::None));
  BOOST_TEST(call.organisation == "two");
  const Version withdrawn(4, { { "two", { "k2" }, 0 } });
  BOOST_TEST((withdrawn.Apply(call) == ErrorKind::UnknownKey));
  // A refused request stays refused.
  BOOST_TEST((withdrawn.Apply(call) == ErrorKind::UnknownKey));
}

// Guards against a public route that is removed while its request waits.
BOOST_AUTO_TEST_CASE(RequestOfRemovedPublicRouteNeedsNoKey)
{
  const Version version(1, { { "one", { "k1" }, 0 } });
  auto call = MakeCall(std::nullopt, "removed");
  BOOST_TEST((version.Apply(call, true) == ErrorKind::None));
  call = MakeCall(std::nullopt, "removed");
  BOOST_TEST((version.Apply(call, false) == ErrorKind::UnknownKey));
}
