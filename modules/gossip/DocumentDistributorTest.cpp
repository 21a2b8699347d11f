#include "core/Hash.h"
#include "gossip/VirtualNetwork.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::gossip;
using namespace std::chrono_literals;

namespace {

/** Starts hosts that are in each other's host lists. */
void
StartAll(VirtualNetwork& aNetwork, std::size_t aCount)
{
  std::vector<std::size_t> all;
  for (std::size_t index = 0; index < aCount; ++index) {
    aNetwork.Start(index);
    all.push_back(index);
  }
  for (const std::size_t index : all) {
    aNetwork.SetList(index, all);
  }
}

} // namespace

// Guards against a status that is changed by encoding, and against records of
// other lengths being decoded as a status.
BOOST_AUTO_TEST_CASE(StatusSurvivesEncoding)
{
  DocumentStatus status;
  status.held = 0x0102030405060708;
  status.appliedVersion = 7;
  status.appliedAt = core::WallTimePoint(1'700'000'000'123ms);
  const std::string value = DocumentDistributor::EncodeStatus(status);
  BOOST_TEST((DocumentDistributor::DecodeStatus(value) == status));
  BOOST_TEST(!DocumentDistributor::DecodeStatus(value + "x").has_value());
  BOOST_TEST(!DocumentDistributor::DecodeStatus("").has_value());
}

// Guards against accepting an older or equal version from the store or a peer.
BOOST_AUTO_TEST_CASE(AcceptsNewerVersionsOnly)
{
  VirtualNetwork network(1);
  StartAll(network, 1);
  auto& desired = network.Node(0).Desired();
  BOOST_TEST(desired.OfferFromStore(5, "five"));
  BOOST_TEST(!desired.OfferFromStore(5, "other"));
  BOOST_TEST(!desired.OfferFromStore(4, "four"));
  DesiredResponse response;
  response.version = 4;
  response.document = "four";
  response.documentHash = core::HashOf(response.document);
  desired.Receive("entry-01", response);
  BOOST_TEST(desired.HeldVersion() == 5U);
  BOOST_TEST(desired.Document() == "five");
}

// Guards against a restarted daemon that accepts an older version than the
// newest one announced, when the only daemon that has the newest one is gone.
BOOST_AUTO_TEST_CASE(StartRefusesVersionsBelowTheNewestSeen)
{
  VirtualNetwork network(1);
  StartAll(network, 5);
  network.Run(10s);
  network.Node(0).Desired().OfferFromStore(1, "one");
  network.Run(5s);
  // Only the record that announces version 2 is distributed; the document is
  // not available.
  network.Node(0).Exchanger().PublishUrgent(
    RecordKeyOf(DocumentKind::DesiredState),
    DocumentDistributor::EncodeStatus({ 2, 2, {} }));
  network.Run(1s);
  network.Stop(0);
  network.Start(3);
  network.SetList(3, { 0, 1, 2, 3, 4 });
  network.Run(120s);
  auto& restarted = network.Node(3).Desired();
  BOOST_TEST(restarted.NewestSeen() == 2U);
  BOOST_TEST(restarted.HeldVersion() == 0U);
  BOOST_TEST(!restarted.OfferFromStore(1, "one"));
  DesiredResponse older;
  older.version = 1;
  older.document = "one";
  older.documentHash = core::HashOf(older.document);
  restarted.Receive(network.hosts[1].name, older);
  BOOST_TEST(restarted.HeldVersion() == 0U);
  BOOST_TEST(restarted.OfferFromStore(2, "two"));
}

// Guards against applying a corrupted patch: its hash does not match, and the
// whole document is requested instead.
BOOST_AUTO_TEST_CASE(DamagedPatchLeadsToTheWholeDocument)
{
  VirtualNetwork network(1);
  StartAll(network, 2);
  network.Run(5s);
  const std::string first(5000, 'a');
  network.Node(0).Desired().OfferFromStore(1, first);
  network.Run(5s);
  BOOST_REQUIRE(network.Node(1).Desired().HeldVersion() == 1U);
  DesiredResponse damaged;
  damaged.version = 2;
  damaged.patchBase = 1;
  damaged.patch = { { "b", 0, 5000 } };
  damaged.documentHash = 1234;
  network.Node(1).Desired().Receive(network.hosts[0].name, damaged);
  BOOST_TEST(network.Node(1).Desired().HeldVersion() == 1U);
  network.Node(0).Desired().OfferFromStore(2, "b" + first);
  std::size_t documentBytes = 0;
  network.sizeOf = [&](const GossipMessage& aMessage) {
    if (const auto* response = std::get_if<DesiredResponse>(&aMessage)) {
      documentBytes += response->document.size();
    }
    return std::size_t{ 0 };
  };
  network.Run(5s);
  BOOST_TEST(network.Node(1).Desired().Document() == "b" + first);
  BOOST_TEST(documentBytes == 5001U);
}

// Guards against sending the whole document for a small change.
BOOST_AUTO_TEST_CASE(SmallChangeIsSentAsAPatch)
{
  VirtualNetwork network(1);
  StartAll(network, 5);
  network.Run(5s);
  const std::string first(5000, 'a');
  network.Node(0).Desired().OfferFromStore(1, first);
  network.Run(5s);
  std::size_t documentBytes = 0;
  network.sizeOf = [&](const GossipMessage& aMessage) {
    if (const auto* response = std::get_if<DesiredResponse>(&aMessage)) {
      documentBytes += response->document.size();
    }
    return std::size_t{ 0 };
  };
  network.Node(2).Desired().OfferFromStore(2, first + "b");
  network.Run(5s);
  for (std::size_t index = 0; index < 5; ++index) {
    BOOST_TEST(network.Node(index).Desired().Document() == first + "b");
  }
  BOOST_TEST(documentBytes == 0U);
}

// Guards against a request that never completes when the selected peer stops.
BOOST_AUTO_TEST_CASE(RequestsFromAnotherHolderAfterTimeout)
{
  VirtualNetwork network(1);
  StartAll(network, 6);
  network.Run(5s);
  network.Node(0).Desired().OfferFromStore(1, "one");
  network.Node(1).Desired().OfferFromStore(1, "one");
  network.Stop(0);
  network.Run(5s);
  for (std::size_t index = 1; index < 6; ++index) {
    BOOST_TEST(network.Node(index).Desired().HeldVersion() == 1U);
  }
}
