#include "proxy/CallerIdentity.h"

#include "gateway/CallerDialect.h"
#include "routing/HttpRouteTable.h"
#include "routing/KeyTable.h"

namespace fireflytrail::proxy {

core::ErrorKind
CallerIdentity::Apply(const Configuration& aConfiguration,
                      const gateway::CallerDialect& aDialect,
                      bool aIsPublic,
                      gateway::CallRequest& aCall)
{
  const std::uint64_t version = aConfiguration.routes.Configuration().version;
  if (aCall.identifiedByVersion == version) {
    return core::ErrorKind::None;
  }
  aCall.organisation.clear();
  aCall.organisationPriority = 0;
  if (aConfiguration.keys.HasOrganisations()) {
    if (aDialect.removeIdentity) {
      aDialect.removeIdentity(aCall.fields);
    }
    const configuration::Organisation* organisation =
      aCall.key ? aConfiguration.keys.Find(*aCall.key) : nullptr;
    if (organisation != nullptr) {
      aCall.organisation = organisation->name;
      aCall.organisationPriority = organisation->priority;
    } else {
      const configuration::HttpRoute* route =
        aConfiguration.routes.Match(aCall.host, aCall.target);
      if (route == nullptr ? !aIsPublic : !route->isPublic) {
        return core::ErrorKind::UnknownKey;
      }
    }
  }
  aCall.identifiedByVersion = version;
  return core::ErrorKind::None;
}

} // namespace fireflytrail::proxy
