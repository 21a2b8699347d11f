#pragma once

#include <cstdint>
#include <string_view>

namespace fireflytrail::calls {

/**
 * Returns a hash of a request's method, target (the service with the path and
 * query) and body. It is the same on every host. Headers are not included,
 * since intermediate proxies may change them between resends. Thread-safe.
 */
std::uint64_t
RequestDigest(std::string_view aMethod,
              std::string_view aTarget,
              std::string_view aBody);

} // namespace fireflytrail::calls
