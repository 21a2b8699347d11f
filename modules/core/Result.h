#pragma once

#include "core/Error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace fireflytrail::core {

/**
 * A value or an `Error`. Reading the value of a failed result is a programming
 * error and terminates the process.
 */
template<typename T>
using Result = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::terminate>;

} // namespace fireflytrail::core
