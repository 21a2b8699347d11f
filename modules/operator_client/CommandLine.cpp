#include "operator_client/CommandLine.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cassert>

namespace fireflytrail::operator_client {

namespace {

const std::string kBoolType = "bool";

bool
IsKnown(const FlagSet& aFlags, const std::string& aName)
{
  return std::ranges::find(aFlags, aName) != aFlags.end();
}

std::string
DisplayName(std::string aName)
{
  std::ranges::replace(aName, '_', '-');
  return aName;
}

gflags::CommandLineFlagInfo
GetFlagInfo(const std::string& aName)
{
  gflags::CommandLineFlagInfo info;
  [[maybe_unused]] const bool found =
    gflags::GetCommandLineFlagInfo(aName.c_str(), &info);
  assert(found);
  return info;
}

} // namespace

CommandLine
CommandLine::Parse(const std::vector<std::string>& aArguments,
                   const FlagSet& aFlags)
{
  CommandLine commandLine;
  const auto fail = [&](std::string aError) {
    commandLine.error = std::move(aError);
    return commandLine;
  };
  for (std::size_t index = 0; index < aArguments.size(); ++index) {
    const std::string& argument = aArguments[index];
    if (argument == "--") {
      commandLine.arguments.insert(commandLine.arguments.end(),
                                   aArguments.begin() + index + 1,
                                   aArguments.end());
      break;
    }
    if (argument.size() < 2 || argument[0] != '-') {
      commandLine.arguments.push_back(argument);
      continue;
    }
    const std::string text = argument.substr(argument[1] == '-' ? 2 : 1);
    const auto equalsPosition = text.find('=');
    std::string name = text.substr(0, equalsPosition);
    std::ranges::replace(name, '-', '_');
    if (name == "help" || name == "h") {
      commandLine.wantsHelp = true;
      continue;
    }
    std::string value;
    if (!IsKnown(aFlags, name) && equalsPosition == text.npos &&
        name.starts_with("no") && IsKnown(aFlags, name.substr(2)) &&
        GetFlagInfo(name.substr(2)).type == kBoolType) {
      name.erase(0, 2);
      value = "false";
    } else if (!IsKnown(aFlags, name)) {
      return fail(fmt::format("unknown flag {}", argument.substr(0, 80)));
    } else if (equalsPosition != text.npos) {
      value = text.substr(equalsPosition + 1);
    } else if (GetFlagInfo(name).type == kBoolType) {
      value = "true";
    } else if (index + 1 < aArguments.size()) {
      value = aArguments[++index];
    } else {
      return fail(fmt::format("flag --{} needs a value", DisplayName(name)));
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
      return fail(fmt::format("bad value \"{}\" of flag --{}, which takes {}",
                              value,
                              DisplayName(name),
                              GetFlagInfo(name).type));
    }
  }
  return commandLine;
}

std::string
CommandLine::DescribeFlags(const FlagSet& aFlags)
{
  std::string text;
  for (const std::string_view flag : aFlags) {
    const auto info = GetFlagInfo(std::string(flag));
    text +=
      fmt::format("  --{:<18} {}{}\n",
                  DisplayName(info.name),
                  info.description,
                  info.default_value.empty() || info.default_value == "false"
                    ? ""
                    : fmt::format(" (default {})", info.default_value));
  }
  return text;
}

} // namespace fireflytrail::operator_client
