#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fireflytrail::store {

/**
 * A random tag that identifies one write. It is stored as the first member,
 * `writer`, of the JSON object that is written, so that a client that did not
 * receive the answer can find out whether its write took effect. Readers get
 * the object without the tag.
 */
class WriterTag
{
public:
  /** Makes a tag from random bits. */
  explicit WriterTag(std::uint64_t aBits);

  /**
   * Returns the object with the tag as its first member. `aObject` must be a
   * JSON object that starts with its opening brace. Thread-safe.
   */
  std::string AddTo(std::string_view aObject) const;

  /** Whether a stored object has this tag. Thread-safe. */
  bool IsIn(std::string_view aStored) const;

  /**
   * Returns a stored object without its tag, byte for byte as it was before
   * `AddTo`. An object without a tag is returned unchanged. Thread-safe.
   */
  static std::string RemoveFrom(std::string aStored);

private:
  /** Opening brace and `writer` member, without the comma that may follow. */
  std::string prefix;
};

} // namespace fireflytrail::store
