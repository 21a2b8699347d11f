#include "calls/Ticket.h"

#include "core/Hash.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace fireflytrail::calls {

namespace {

/** Maximum length of the text form; longer texts are rejected. */
constexpr std::size_t kMaxTextLength = 256;

std::string
TextWithoutCheck(const Ticket& aTicket)
{
  return fmt::format("{}.{:x}.{:x}.{:x}",
                     aTicket.issuer.name,
                     aTicket.issuer.start,
                     aTicket.sequence,
                     aTicket.expiry.count());
}

core::Error
Invalid(std::string aDetail)
{
  return { core::ErrorKind::TicketInvalid, std::move(aDetail) };
}

} // namespace

std::uint64_t
Ticket::CheckFor(std::uint64_t aSecret) const
{
  return core::HashOf(TextWithoutCheck(*this), aSecret);
}

std::string
Ticket::Text() const
{
  return fmt::format("{}.{:x}", TextWithoutCheck(*this), this->check);
}

core::Result<Ticket>
Ticket::Parse(std::string_view aText)
{
  if (aText.size() > kMaxTextLength) {
    return Invalid("ticket is too long");
  }
  // The numbers are parsed from the end, since the name may contain dots.
  std::array<std::uint64_t, 4> numbers{};
  std::string_view rest = aText;
  for (std::size_t index = numbers.size(); index-- > 0;) {
    const std::size_t dot = rest.rfind('.');
    if (dot == std::string_view::npos || dot + 1 == rest.size()) {
      return Invalid("ticket has too few fields");
    }
    const std::string_view field = rest.substr(dot + 1);
    const char* const end = field.data() + field.size();
    const auto [stop, error] =
      std::from_chars(field.data(), end, numbers[index], 16);
    if (error != std::errc() || stop != end) {
      return Invalid("ticket has a field that is not a hexadecimal number");
    }
    rest = rest.substr(0, dot);
  }
  if (rest.empty()) {
    return Invalid("ticket has no issuer name");
  }
  Ticket ticket;
  ticket.issuer = { std::string(rest), numbers[0] };
  ticket.sequence = numbers[1];
  ticket.expiry =
    std::chrono::milliseconds(static_cast<std::int64_t>(numbers[2]));
  ticket.check = numbers[3];
  // Each ticket has exactly one valid text: uppercase digits and leading zeros
  // are rejected.
  if (ticket.Text() != aText) {
    return Invalid("ticket is not in its canonical form");
  }
  return ticket;
}

} // namespace fireflytrail::calls
