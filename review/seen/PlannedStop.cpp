// Not a case: no rule was seen broken. One of five daemons is paused, so that
// connects to it stay pending, and the others are stopped in order, six times.
// Some of the stopped daemons end with SIGSEGV (-11 in the record).
//
// After review/build.sh, in the repository's root:
//   g++ -std=c++20 -O1 -I . -I modules -DBOOST_ASIO_NO_DEPRECATED
//     review/seen/PlannedStop.cpp out/review/{Backend,Deployment,Record}.o
//     out/review/{DaemonProcess,HttpService,ObjectStore}.o
//     -o out/review/planned_stop -lboost_json -lfmt -pthread
//   out/review/planned_stop

#include "review/standins/Backend.h"
#include "review/standins/Deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>

namespace {

using namespace fireflytrail;
using namespace std::chrono_literals;

constexpr unsigned kDaemons = 5;
constexpr unsigned kRounds = 6;

boost::asio::awaitable<void>
Run(boost::asio::io_context& aContext,
    review::Record& aRecord,
    review::Deployment& aDeployment)
{
  aDeployment.Configure({ { .service = "s",
                            .isRepeatable = false,
                            .timeout = 2500ms,
                            .goal = 800ms } });
  review::Backend backend(
    aContext, aRecord, { .service = "s", .id = "i", .zone = "a", .work = [] {
                          return 50ms;
                        } });
  aDeployment.Add(backend);
  aDeployment.Start(kDaemons);
  co_await aDeployment.WaitUntilReady();
  co_await aDeployment.Wait(3s);
  for (unsigned round = 1; round <= kRounds; ++round) {
    aDeployment.At(0).process->SendSignal(SIGSTOP);
    co_await aDeployment.Wait(100ms * round);
    for (unsigned index = 1; index < kDaemons; ++index) {
      aDeployment.At(index).process->SendSignal(SIGTERM);
      co_await aDeployment.Wait(150ms);
    }
    co_await aDeployment.Wait(6500ms);
    aDeployment.At(0).process->SendSignal(SIGCONT);
    co_await aDeployment.Wait(3s);
  }
  aDeployment.Stop();
  aContext.stop();
}

} // namespace

int
main()
{
  boost::asio::io_context context;
  review::Record record("review/seen/record.txt");
  review::Deployment deployment(context, record);
  boost::asio::co_spawn(
    context, Run(context, record, deployment), boost::asio::detached);
  context.run();
  return 0;
}
