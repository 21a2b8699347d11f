#include "operator_client/DumpCommand.h"

#include <cassert>
#include <string_view>
#include <utility>

namespace fireflytrail::operator_client {

DumpCommand::DumpCommand(DaemonAccess aGetFromDaemon, CommandOutput aOutput)
  : getFromDaemon(std::move(aGetFromDaemon))
  , output(std::move(aOutput))
{
  assert(this->getFromDaemon && this->output.out && this->output.error);
}

ExitCode
DumpCommand::Run(const std::string& aDaemonAddress) const
{
  const auto body = this->getFromDaemon(aDaemonAddress, "/dump");
  if (!body) {
    this->output.error(body.error().detail);
    return ExitCode::Unavailable;
  }
  std::string_view text = body.value();
  while (text.ends_with('\n')) {
    text.remove_suffix(1);
  }
  this->output.out(text);
  return ExitCode::Ok;
}

} // namespace fireflytrail::operator_client
