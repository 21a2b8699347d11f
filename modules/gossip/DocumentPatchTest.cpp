#include "gossip/DocumentPatch.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace fireflytrail::gossip;

namespace {

constexpr std::size_t kMaxSize = 1'000'000;

std::string
Lines(int aCount)
{
  std::string text;
  for (int line = 0; line < aCount; ++line) {
    text += "\"service-" + std::to_string(line) +
            "\": { \"slots\": 4, \"connections\": 260 },\n";
  }
  return text;
}

} // namespace

// Guards against a patched document that differs from the new version.
BOOST_AUTO_TEST_CASE(PatchReproducesTheDocument)
{
  std::mt19937_64 random(1);
  const std::string old = Lines(200);
  for (int round = 0; round < 200; ++round) {
    std::string changed = old;
    for (std::uint64_t edit = random() % 5; edit > 0; --edit) {
      const std::size_t at = random() % changed.size();
      switch (random() % 3) {
        case 0:
          changed.insert(at, std::string(random() % 100, 'n'));
          break;
        case 1:
          changed.erase(at, random() % 300);
          break;
        default:
          changed.insert(0, changed.substr(at, random() % 500));
      }
    }
    const auto patch = DocumentPatch::Make(old, changed);
    const auto made = DocumentPatch::Apply(old, patch, kMaxSize);
    BOOST_REQUIRE(made.has_value());
    BOOST_TEST((*made == changed), "round " << round);
  }
}

// Guards against a large patch for a small change.
BOOST_AUTO_TEST_CASE(SmallChangeMakesASmallPatch)
{
  const std::string old = Lines(500);
  std::string changed = "\"text_version\": 2\n" + old;
  changed.replace(changed.find("service-321"), 11, "service-new");
  const auto patch = DocumentPatch::Make(old, changed);
  BOOST_TEST(DocumentPatch::EncodedSize(patch) < 500U);
}

// Guards against patches that fail for empty or unrelated documents.
BOOST_AUTO_TEST_CASE(HandlesEmptyAndUnrelatedDocuments)
{
  const std::string text = Lines(3);
  for (const auto& [old, changed] :
       { std::pair<std::string, std::string>{ "", "" },
         { "", text },
         { text, "" },
         { text, "short" },
         { "short", text } }) {
    const auto patch = DocumentPatch::Make(old, changed);
    BOOST_TEST(DocumentPatch::Apply(old, patch, kMaxSize).value() == changed);
  }
}

// Guards against reads outside the old document and against a patch of a few
// bytes that expands to a document of gigabytes.
BOOST_AUTO_TEST_CASE(RejectsInvalidParts)
{
  BOOST_TEST(!DocumentPatch::Apply("abc", { { "", 2, 2 } }, 100).has_value());
  BOOST_TEST(!DocumentPatch::Apply("abc", { { "", 4, 0 } }, 100).has_value());
  BOOST_TEST(
    !DocumentPatch::Apply("abc", { { "", 0xffffffff, 0xffffffff } }, 100)
       .has_value());
  const std::vector<PatchPart> repeated(1000, { "", 0, 3 });
  BOOST_TEST(!DocumentPatch::Apply("abc", repeated, 100).has_value());
}
