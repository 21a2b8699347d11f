#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>

namespace fireflytrail::scenario {

/** The only random source of a scenario, so that a seed reproduces a run. */
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine(aSeed)
  {
  }

  std::uint64_t Next() { return this->engine(); }

  /** Returns a number from 0 to below `aBound`, which must not be zero. */
  std::uint64_t Below(std::uint64_t aBound) { return this->engine() % aBound; }

  /** Returns a uniformly distributed number from 0 to below 1. */
  double UniformUnit()
  {
    return static_cast<double>(this->engine() >> 11) * 0x1.0p-53;
  }

  /** Returns a uniformly distributed time from 0 to below `aBound`. */
  std::chrono::microseconds Time(std::chrono::microseconds aBound)
  {
    return std::chrono::microseconds(static_cast<std::int64_t>(
      this->UniformUnit() * static_cast<double>(aBound.count())));
  }

  /** Returns an exponentially distributed time with a mean in microseconds. */
  std::chrono::microseconds Exponential(double aMeanUs)
  {
    return std::chrono::microseconds(static_cast<std::int64_t>(
      -std::log(1.0 - this->UniformUnit()) * aMeanUs));
  }

private:
  std::mt19937_64 engine;
};

} // namespace fireflytrail::scenario
