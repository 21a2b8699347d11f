#pragma once

#include "configuration/TextError.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <vector>

namespace fireflytrail::configuration {

/** A value that passed every check, or all errors that were found. */
template<typename T>
using Checked = boost::outcome_v2::
  basic_result<T, std::vector<TextError>, boost::outcome_v2::policy::terminate>;

} // namespace fireflytrail::configuration
