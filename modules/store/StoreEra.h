#pragma once

#include <cstdint>

namespace fireflytrail::store {

struct StoreResponse;

/**
 * The era of the store that one daemon believes (see `StoreResponse::era`). An
 * era never decreases. One that is higher than the known one is believed when
 * two answers in succession state it, since a single wrong answer would make
 * the daemon discard what the store says from then on.
 *
 * Performs no I/O. Not thread-safe.
 */
class StoreEra
{
public:
  /** How the content of an answer relates to the era that is believed. */
  enum class Standing : std::uint8_t
  {
    /** It is of that era, or states none. */
    Current,
    /** It is older and must not be used. */
    Older,
    /** It states a higher era for the first time and must not be used yet. */
    Unconfirmed,
    /** It has confirmed a higher era, which is believed now. What was read
     * before, and what is being read, is of an older one. */
    Raised,
  };

  /** Compares an answer of the store with the era that is believed. The first
   * one determines it. */
  Standing Judge(const StoreResponse& aAnswer);

  /** Whether an answer states a lower era than the one that is believed. */
  bool IsOlder(const StoreResponse& aAnswer) const;

  /** Records an era that another daemon believes. Returns whether an earlier
   * one was believed before. */
  bool Raise(std::uint64_t aEra);

  /** Returns the era that is believed; 0 if none was stated. */
  std::uint64_t Current() const { return this->current; }

private:
  std::uint64_t current = 0;
  /** A higher era that the last answer has stated; 0 if there is none. */
  std::uint64_t stated = 0;
  bool isKnown = false;
};

} // namespace fireflytrail::store
