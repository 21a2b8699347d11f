#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::store {

/** How far a request got. */
enum class StoreDelivery : std::uint8_t
{
  /** No byte of the request was sent. */
  NotSent,
  /** The request may have arrived, but there is no complete answer. */
  Lost,
  Answered,
};

/** Outcome of one request to the platform. */
struct StoreResponse
{
  StoreDelivery delivery = StoreDelivery::NotSent;
  /** HTTP status of an answer. */
  unsigned status = 0;
  /** `Object-Version` header of an answer, or 0. */
  std::uint64_t version = 0;
  std::string body;
  /** For logs: what failed. */
  std::string detail;
  /** Number in an answer that is greater each time after the store came back
   * from an older copy; 0 if the answer names none. */
  std::uint64_t era = 0;
};

} // namespace fireflytrail::store
