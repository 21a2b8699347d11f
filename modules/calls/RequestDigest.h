#pragma once

#include <cstdint>
#include <string_view>

namespace fireflytrail::calls {

/**
 * Returns the digest of a request, equal on every host: over the method, the
 * service with the path and query, and the body. Headers are left out, since
 * proxies on the way may change them between resends. Thread-safe.
 */
std::uint64_t
RequestDigest(std::string_view aMethod,
              std::string_view aTarget,
              std::string_view aBody);

} // namespace fireflytrail::calls
