#include "operator_client/TextFile.h"

#include <fmt/format.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace fireflytrail::operator_client {

core::Result<NamedText>
ReadTextFile(const std::string& aPath)
{
  const auto fail = [&](const std::string& aReason) {
    return core::Error{ core::ErrorKind::BadRequest,
                        fmt::format("cannot read {}: {}", aPath, aReason) };
  };
  std::error_code ignored;
  if (std::filesystem::is_directory(aPath, ignored)) {
    return fail("is a directory");
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return fail(std::generic_category().message(errno));
  }
  std::string text{ std::istreambuf_iterator<char>(file),
                    std::istreambuf_iterator<char>() };
  if (file.bad()) {
    return fail("read error");
  }
  return NamedText{ aPath, std::move(text) };
}

} // namespace fireflytrail::operator_client
