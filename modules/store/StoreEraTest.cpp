#include "store/StoreEra.h"

#include "store/StoreResponse.h"
#include "store/StoreRevision.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::store;
using Standing = StoreEra::Standing;

namespace {

StoreResponse
AnswerOf(std::uint64_t aEra)
{
  StoreResponse answer;
  answer.delivery = StoreDelivery::Answered;
  answer.status = 200;
  answer.era = aEra;
  return answer;
}

} // namespace

// Guards against a change that is taken for an older one because the store
// gives its revisions out again after it came back from an older copy.
BOOST_AUTO_TEST_CASE(RevisionsAreOrderedByTheEraFirst)
{
  BOOST_TEST(JoinRevision(2, 7) > JoinRevision(1, 1'000'000));
  BOOST_TEST(JoinRevision(2, 8) > JoinRevision(2, 7));
  BOOST_TEST(JoinRevision(0, 7) == 7U);
  BOOST_TEST(EraOf(JoinRevision(3, 7)) == 3U);
  BOOST_TEST(StatedRevision(JoinRevision(3, 7)) == 7U);
  // Values out of range must not change the other part.
  BOOST_TEST(EraOf(JoinRevision(1, kMaxRevision + 5)) == 1U);
  BOOST_TEST(EraOf(JoinRevision(kMaxEra + 5, 7)) == kMaxEra);
}

// Guards against one wrong answer after which a daemon uses nothing more that
// the store says.
BOOST_AUTO_TEST_CASE(ASingleHigherEraIsNotBelieved)
{
  StoreEra era;
  BOOST_TEST((era.Judge(AnswerOf(4)) == Standing::Current));
  BOOST_TEST((era.Judge(AnswerOf(900)) == Standing::Unconfirmed));
  BOOST_TEST((era.Judge(AnswerOf(4)) == Standing::Current));
  BOOST_TEST((era.Judge(AnswerOf(900)) == Standing::Unconfirmed));
  BOOST_TEST((era.Judge(AnswerOf(901)) == Standing::Unconfirmed));
  BOOST_TEST(era.Current() == 4U);
}

// Guards against a return of the store from an older copy that is not noticed,
// also if it returned several times while the daemon did not reach it.
BOOST_AUTO_TEST_CASE(AHigherEraIsBelievedWhenItIsStatedTwice)
{
  StoreEra era;
  era.Judge(AnswerOf(4));
  BOOST_TEST((era.Judge(AnswerOf(6)) == Standing::Unconfirmed));
  BOOST_TEST((era.Judge(AnswerOf(6)) == Standing::Raised));
  BOOST_TEST(era.Current() == 6U);
  BOOST_TEST((era.Judge(AnswerOf(6)) == Standing::Current));
}

// Guards against the use of an answer that was under way when the store came
// back from an older copy, and against an era that goes back.
BOOST_AUTO_TEST_CASE(AnswersOfALowerEraAreNotUsed)
{
  StoreEra era;
  era.Judge(AnswerOf(4));
  BOOST_TEST(era.Raise(5));
  BOOST_TEST((era.Judge(AnswerOf(4)) == Standing::Older));
  BOOST_TEST(!era.Raise(4));
  BOOST_TEST(era.Current() == 5U);
}

// Guards against a store without eras whose answers are not used, and against a
// daemon that takes the era which it learns first for a return of the store.
BOOST_AUTO_TEST_CASE(AStoreNeedNotStateAnEra)
{
  StoreEra era;
  BOOST_TEST((era.Judge(AnswerOf(0)) == Standing::Current));
  BOOST_TEST((era.Judge(AnswerOf(0)) == Standing::Current));
  BOOST_TEST((era.Judge(StoreResponse{}) == Standing::Current));
  BOOST_TEST(era.Current() == 0U);
  StoreEra joining;
  BOOST_TEST(!joining.Raise(3));
  BOOST_TEST(joining.Current() == 3U);
  BOOST_TEST((joining.Judge(AnswerOf(0)) == Standing::Current));
}
