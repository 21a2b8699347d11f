#pragma once

#include <string>

namespace fireflytrail::configuration {

/**
 * Checks of single strings. Each returns an error message that says what is
 * allowed, or an empty string if the string is valid. Thread-safe.
 */

/** Checks a name of a service, call, host, region or failure domain. */
std::string
CheckName(const std::string& aText);

/** Checks a version identifier. */
std::string
CheckVersion(const std::string& aText);

/** Checks an HTTP method. */
std::string
CheckMethod(const std::string& aText);

/** Checks the path of a call. */
std::string
CheckPath(const std::string& aText);

/** Checks an address of the form `IP:PORT`. */
std::string
CheckEndpoint(const std::string& aText);

} // namespace fireflytrail::configuration
