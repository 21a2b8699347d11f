#pragma once

#include "configuration/ThinEvidenceAction.h"

namespace fireflytrail::configuration {

/** Settings of version moves. */
struct MovesSettings
{
  /** Share of calls that a new version gets until there is evidence on it. */
  double firstShare = 0.05;
  /** Confidence required to judge a version bad and take it back. */
  double confidence = 0.99;
  ThinEvidenceAction thinEvidence = ThinEvidenceAction::TakeBack;

  bool operator==(const MovesSettings&) const = default;
};

} // namespace fireflytrail::configuration
