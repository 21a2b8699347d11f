#pragma once

#include "configuration/Checked.h"
#include "configuration/LocatedValue.h"
#include "core/Result.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fireflytrail::configuration {

/**
 * Reads the settings of a daemon from a file that may be written meanwhile.
 * `Settings` has the function `Parse` of `ProxySettings`. Not thread-safe.
 */
template<typename Settings>
class SettingsFile
{
public:
  /** Result of one reading. */
  struct Content
  {
    std::optional<Settings> settings;
    /** What is wrong if there are no settings. */
    std::vector<std::string> errors;
    /** Whether the file is missing, empty or cut, so that it may be read again
     * soon. */
    bool isIncomplete = false;
  };

  /** Returns the text of the file, or why it cannot be read. */
  using ReadFunction = std::function<core::Result<std::string>()>;

  /** `aPath` is used for messages only. `aRead` must be set. */
  SettingsFile(std::string aPath, ReadFunction aRead)
    : path(std::move(aPath))
    , read(std::move(aRead))
  {
  }

  /** Reads the file once. */
  Content Read() const
  {
    Content content;
    const auto text = this->read();
    if (!text) {
      content.errors.push_back(text.error().detail);
      content.isIncomplete = true;
      return content;
    }
    auto settings = Settings::Parse(text.value());
    if (settings) {
      content.settings = std::move(settings).value();
      return content;
    }
    for (const TextError& error : settings.error()) {
      content.errors.push_back(this->path + ": " + error.ToString());
    }
    content.isIncomplete = !LocatedValue::Parse(text.value()).has_value();
    return content;
  }

  /**
   * Reads the file until it is complete. Calls `aPause` with the errors between
   * two readings and gives up when it returns false.
   */
  Content ReadComplete(
    const std::function<bool(const std::vector<std::string>&)>& aPause) const
  {
    Content content = this->Read();
    while (content.isIncomplete && aPause(content.errors)) {
      content = this->Read();
    }
    return content;
  }

private:
  std::string path;
  ReadFunction read;
};

} // namespace fireflytrail::configuration
