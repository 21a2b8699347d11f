#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>

namespace fireflytrail::store {

/** An object of the platform's store as it was read. */
struct ObjectRecord
{
  std::string kind;
  std::string name;
  /** Revision of the object's last change; 0 if not known. */
  std::uint64_t revision = 0;
  bool isDeleted = false;
  /** The whole object in the platform's JSON format. */
  boost::json::value content;
};

} // namespace fireflytrail::store
