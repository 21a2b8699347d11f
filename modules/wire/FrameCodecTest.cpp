#include "wire/FrameCodec.h"

#include "gossip/GossipState.h"
#include "wire/MessageConversion.h"
#include "wire/messages_generated.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::wire;
using namespace std::chrono_literals;

namespace {

std::span<const std::uint8_t>
BytesOf(const std::string& aText)
{
  return { reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size() };
}

/** One message of each type with every field set. */
std::vector<WireMessage>
AllMessages()
{
  gossip::Delta delta;
  delta.kind = gossip::DeltaKind::Push;
  delta.exchange = 7;
  delta.senderIsStale = true;
  delta.heartbeats = { { 1, 2 }, { 0xffffffffffffffff, 4 } };
  delta.origins.push_back(
    { { "entry-01", 99 },
      1'700'000'000'000,
      5,
      3,
      8,
      { { "addr", "10.0.0.1:7000", 4, false }, { "verdict", "", 8, true } } });
  delta.wanted = { { 11, 12, 13 } };
  return {
    Hello{ { "entry-01", 42 }, "10.0.0.1:7000" },
    gossip::Digest{ 3, { { 1, 2, 3 }, { 4, 5, 6 } } },
    delta,
    gossip::DesiredRequest{ 1, 2, 3, true },
    gossip::DesiredResponse{ 1,
                             9,
                             std::string("a\0b", 3),
                             8,
                             { { "new", 10, 20 }, { "", 0, 5 } },
                             77,
                             "entry-02" },
    ForwardCall{ 5,
                 "ticket",
                 "till-sales",
                 "POST",
                 "/sell?x=1",
                 { { "Accept", "*/*" }, { "X-Empty", "" } },
                 std::string("\0\xff", 2),
                 1500ms,
                 2,
                 17 },
    ForwardAnswer{ 5,
                   503,
                   { { "Retry-After", "1" } },
                   "body",
                   core::ErrorKind::Internal,
                   core::CallOutcome::NotRun },
    SlotRequest{
      8, "till-sales", "akl-a", 400ms, 1500ms, 2, { 7, 9 }, 99, 17, 5200, 31 },
    SlotDecision{ 8,
                  core::ErrorKind::Overloaded,
                  5,
                  { .id = "i-1",
                    .service = "till-sales",
                    .version = "v2",
                    .address = "10.0.0.9:8080",
                    .failureDomain = "akl-b",
                    .slots = 4,
                    .startedAt = 1'700'000'000'123 },
                  250ms },
    SlotRelease{ 0,
                 "till-sales",
                 5,
                 routing::AttemptOutcome::Lost,
                 1'234us,
                 routing::LoadSample{ 3, 1, 4, 2.5 },
                 routing::ServerNotice{ 1.5, true, 1'500ms },
                 99,
                 17 },
    StoreNews{
      { { "servers",
          4,
          9,
          true,
          { { "i-1", 5, false, "{}" }, { "i-2", 9, true, "" } } },
        { "config",
          1,
          7,
          false,
          { { "main", 7, false, "", 6, { { "new", 4, 8 } }, 77 } } } } },
    StoreBeat{ { 1, 0xffffffffffffffff },
               true,
               true,
               true,
               { "x", "y" },
               { 7, 0xfffffffffffffffe },
               true,
               true },
    StoreNewsRequest{ "servers", 4 },
    StoreNewsRequest{ "servers", 0, true },
    UsageNews{ { { 7, 3, { { 4, { { "a", 1 }, { "b", 70'000 } }, true } } },
                 { 8, 0, { { 4, { { "b", 2 } } }, { 5, {} } } } },
               1'700'000'000'000'123us },
    UsageRequest{ 4, 6, 3, 1'700'000'000'000'123us },
    UsageLease{ "entry-1", 7, 1ULL << 50U, 9, 412, 2, true, 6, 5 },
  };
}

std::string
FrameOf(const std::string& aEnvelope)
{
  std::string frame(FrameCodec::kLengthSize, '\0');
  for (std::size_t index = 0; index < FrameCodec::kLengthSize; ++index) {
    frame[index] = static_cast<char>((aEnvelope.size() >> (8 * index)) & 0xff);
  }
  return frame + aEnvelope;
}

} // namespace

// Guards against a field that is lost or swapped in a conversion.
BOOST_AUTO_TEST_CASE(EveryMessageTypeRoundTrips)
{
  for (const WireMessage& message : AllMessages()) {
    FrameCodec codec;
    codec.Feed(BytesOf(FrameCodec::Encode(message).value()));
    const auto decoded = codec.Next();
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == message), "type " << message.index());
    BOOST_TEST(codec.BufferedSize() == 0U);
  }
}

// Guards against frames that are lost or merged when TCP splits the stream at
// arbitrary bytes.
BOOST_AUTO_TEST_CASE(DecodesByteByByte)
{
  std::string stream;
  const auto messages = AllMessages();
  for (const WireMessage& message : messages) {
    stream += FrameCodec::Encode(message).value();
  }
  FrameCodec codec;
  std::size_t count = 0;
  for (const char byte : stream) {
    codec.Feed(BytesOf(std::string(1, byte)));
    while (const auto decoded = codec.Next()) {
      BOOST_REQUIRE(count < messages.size());
      BOOST_TEST((*decoded == messages[count]));
      ++count;
    }
  }
  BOOST_TEST(count == messages.size());
  BOOST_TEST((codec.Error() == FrameError::None));
}

// Guards against a peer that makes the daemon buffer without limit.
BOOST_AUTO_TEST_CASE(RejectsOversizedFrameAtItsLength)
{
  FrameCodec codec;
  codec.Feed(BytesOf(std::string("\x01\x00\x20\x00", 4)));
  BOOST_TEST(!codec.Next().has_value());
  BOOST_TEST((codec.Error() == FrameError::Oversized));
  codec.Feed(BytesOf(FrameCodec::Encode(Hello{ { "a", 1 }, "" }).value()));
  BOOST_TEST(!codec.Next().has_value());
}

// Guards against an encoder that sends what the receiver must reject.
BOOST_AUTO_TEST_CASE(DoesNotEncodeBeyondTheLimit)
{
  gossip::DesiredResponse response;
  response.document.assign(FrameCodec::kMaxFrameSize, 'x');
  BOOST_TEST(!FrameCodec::Encode(response).has_value());
}

// Guards against a message of a later protocol version being decoded as one of
// this version.
BOOST_AUTO_TEST_CASE(ReportsUnknownProtocolVersion)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto request = fbs::CreateDesiredRequest(builder, 1, 2, 3, false);
  fbs::FinishEnvelopeBuffer(
    builder,
    fbs::CreateEnvelope(builder,
                        MessageConversion::kProtocolVersion + 1,
                        fbs::Message::DesiredRequest,
                        request.Union()));
  FrameCodec codec;
  codec.Feed(BytesOf(FrameOf(std::string(
    reinterpret_cast<char*>(builder.GetBufferPointer()), builder.GetSize()))));
  BOOST_TEST(!codec.Next().has_value());
  BOOST_TEST((codec.Error() == FrameError::UnknownVersion));
}

// Guards against out-of-bounds reads of a truncated envelope whose frame states
// the truncated length.
BOOST_AUTO_TEST_CASE(ReportsTruncatedEnvelopesAsCorrupt)
{
  for (const WireMessage& message : AllMessages()) {
    const std::string frame = FrameCodec::Encode(message).value();
    const std::string envelope = frame.substr(FrameCodec::kLengthSize);
    for (std::size_t size = 0; size + 8 < envelope.size(); size += 5) {
      FrameCodec codec;
      codec.Feed(BytesOf(FrameOf(envelope.substr(0, size))));
      if (!codec.Next().has_value()) {
        BOOST_TEST((codec.Error() != FrameError::None));
      }
    }
  }
}

// Guards against looking up an error kind that `core::ErrorTable` does not
// list.
BOOST_AUTO_TEST_CASE(RejectsUnknownErrorKind)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto answer = fbs::CreateForwardAnswer(builder, 1, 200, 0, 0, 200, 0);
  fbs::FinishEnvelopeBuffer(
    builder,
    fbs::CreateEnvelope(builder,
                        MessageConversion::kProtocolVersion,
                        fbs::Message::ForwardAnswer,
                        answer.Union()));
  FrameCodec codec;
  codec.Feed(BytesOf(FrameOf(std::string(
    reinterpret_cast<char*>(builder.GetBufferPointer()), builder.GetSize()))));
  BOOST_TEST(!codec.Next().has_value());
  BOOST_TEST((codec.Error() == FrameError::Corrupt));
}

// Guards against a field in a message of a faulty daemon that ends its
// receiver: the container of fields throws.
BOOST_AUTO_TEST_CASE(RejectsHeadersThatNoContainerHolds)
{
  const std::string text(65'534, 'x');
  for (const Header& header :
       { Header{ "Field", text }, Header{ text, "value" } }) {
    ForwardCall call;
    call.headers = { header };
    ForwardAnswer answer;
    answer.headers = { header };
    for (const WireMessage& message :
         { WireMessage(call), WireMessage(answer) }) {
      const auto frame = FrameCodec::Encode(message);
      BOOST_REQUIRE(frame.has_value());
      FrameCodec codec;
      codec.Feed(BytesOf(*frame));
      BOOST_TEST(!codec.Next().has_value());
      BOOST_TEST((codec.Error() == FrameError::Corrupt));
    }
  }
}

// Guards against digests that exceed the byte budget of CAPACITY.md: 16 bytes
// per host plus a fixed part.
BOOST_AUTO_TEST_CASE(DigestTakesSixteenBytesPerHost)
{
  gossip::Digest digest;
  digest.exchange = 1;
  digest.entries.resize(100, { 0x1234567890abcdef, 1000, 100 });
  BOOST_TEST(FrameCodec::Encode(digest)->size() <= 1600U + 80U);
}

// Guards against messages that exceed their byte limits: the size estimates of
// the gossip module must not be below the encoded size.
BOOST_AUTO_TEST_CASE(SizeEstimatesCoverTheEncoding)
{
  const auto sizeOf = [](std::size_t aOrigins, std::size_t aRecords) {
    gossip::Delta delta;
    for (std::size_t origin = 0; origin < aOrigins; ++origin) {
      gossip::OriginDelta part;
      part.id = { "entry-01", 99 + origin };
      part.incarnation = 1'700'000'000'000;
      part.heartbeat = 5;
      part.from = 1;
      part.upTo = 9;
      for (std::size_t record = 0; record < aRecords; ++record) {
        part.records.push_back(
          { "key-" + std::to_string(record), "0123456789ab", 7, false });
      }
      delta.origins.push_back(part);
    }
    return FrameCodec::Encode(delta)->size();
  };
  const std::size_t perOrigin = (sizeOf(11, 0) - sizeOf(1, 0)) / 10;
  const std::size_t perRecord = (sizeOf(1, 11) - sizeOf(1, 1)) / 10;
  const gossip::Record record{ "key-0", "0123456789ab", 7, false };
  BOOST_TEST(perOrigin <= gossip::GossipState::kOriginOverhead + 8U);
  BOOST_TEST(perRecord <= gossip::GossipState::EncodedSize(record));
  BOOST_TEST_MESSAGE("origin " << perOrigin << ", record " << perRecord);
}
