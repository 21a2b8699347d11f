#pragma once

#include "store/ObjectRecord.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflytrail::store {

struct ObjectPage;

/**
 * Collects the pages of one list of the objects of a kind, and selects the name
 * after which the next page starts. Reading ends whatever the store answers: a
 * page without a new object, or that the store refuses, is requested again from
 * an earlier name, a limited number of times, and an object that is listed
 * again takes no more memory. Neither an object without a name, of which one is
 * kept, nor one whose name is too long for a request selects a page.
 *
 * Performs no I/O. Not thread-safe.
 */
class ObjectListing
{
public:
  /** What follows a page. */
  enum class Progress : std::uint8_t
  {
    /** The next page is to be requested, after `Cursor`. */
    Continues,
    /** The page was the last one. */
    Complete,
    /** The store has more objects, but does not return them. */
    Incomplete,
  };

  /** Adds the answer to the request for the next page. Do not call it after it
   * has returned anything but `Continues`. */
  Progress Add(ObjectPage aPage);

  /** Selects an earlier name because the store has refused the request for the
   * page after `Cursor`, which must not be empty. */
  Progress OnPageRefused();

  /** Returns the name after which the next page starts; empty for the first
   * page. */
  const std::string& Cursor() const;

  /** Returns the name after which the store did not continue an incomplete list
   * at the first attempt; empty for the first page. */
  const std::string& StuckAfter() const { return this->stuckAfter; }

  /** Returns the revision up to which the list is complete: pages may be read
   * at different revisions, and a change between them may be in neither. 0
   * before the first page. */
  std::uint64_t Revision() const { return this->revision; }

  /** Removes and returns the objects of all pages, each once. */
  std::vector<ObjectRecord> TakeObjects();

private:
  /** Selects an earlier name for the next page, if one is left to be tried. */
  Progress StepBack();

  std::map<std::string, ObjectRecord, std::less<>> objects;
  /** Names in the order in which the store listed them; the next page starts
   * after the last one. */
  std::vector<std::string> cursors;
  std::string stuckAfter;
  std::uint64_t revision = 0;
  /** Pages without a new object since the last one that had some. */
  std::size_t stepsBack = 0;
};

} // namespace fireflytrail::store
