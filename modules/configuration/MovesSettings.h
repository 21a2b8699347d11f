#pragma once

#include "configuration/ThinEvidence.h"

namespace fireflytrail::configuration {

/** Settings of version moves. */
struct MovesSettings
{
  /** Share of calls that a new version gets before there is evidence. */
  double firstShare = 0.05;
  /** Confidence that a taken-back version is bad. */
  double confidence = 0.99;
  ThinEvidence thinEvidence = ThinEvidence::TakeBack;

  bool operator==(const MovesSettings&) const = default;
};

} // namespace fireflytrail::configuration
