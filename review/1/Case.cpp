// One daemon is killed and restarted while requests that it took wait for a
// slot at another daemon. Checks that every request runs at its own service.

#include "review/standins/Backend.h"
#include "review/standins/Deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <random>
#include <string_view>

namespace {

using namespace fireflytrail;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr unsigned kServicesOfAKind = 9;
constexpr milliseconds kSlowWork = 3000ms;
constexpr milliseconds kFastWork = 30ms;

class Case
{
public:
  Case(boost::asio::io_context& aContext, review::Record& aRecord)
    : context(aContext)
    , record(aRecord)
    , deployment(aContext, aRecord)
  {
  }

  boost::asio::awaitable<void> Run(bool aHasTrouble)
  {
    std::vector<review::Deployment::Route> routes;
    for (unsigned index = 0; index < kServicesOfAKind; ++index) {
      routes.push_back({ .service = fmt::format("ledger-{}", index),
                         .isRepeatable = false,
                         .timeout = 8000ms,
                         .goal = 6000ms,
                         .priority = 1 });
      routes.push_back({ .service = fmt::format("sales-{}", index),
                         .isRepeatable = false,
                         .timeout = 1500ms,
                         .goal = 400ms,
                         .priority = 1 });
    }
    this->deployment.Configure(routes);
    for (const auto& route : routes) {
      const bool isSlow = route.service.starts_with("ledger");
      this->instances.push_back(std::make_unique<review::Backend>(
        this->context,
        this->record,
        review::Backend::Options{ .service = route.service,
                                  .id = "i-" + route.service,
                                  .zone = "a",
                                  .work = [this, isSlow] {
                                    const auto work =
                                      isSlow ? kSlowWork : kFastWork;
                                    return work * (75 + this->random() % 50) /
                                           100;
                                  } }));
      this->deployment.Add(*this->instances.back());
    }
    this->deployment.Start(2);
    if (!co_await this->deployment.WaitUntilReady()) {
      this->result = 2;
      this->context.stop();
      co_return;
    }
    co_await this->deployment.Wait(4s);
    for (const auto& route : routes) {
      if (route.service.starts_with("sales")) {
        boost::asio::co_spawn(
          this->context,
          this->SendRegularly(route.service, route.timeout, 60ms),
          boost::asio::detached);
      }
    }
    co_await this->deployment.Wait(850ms);
    for (unsigned number = 0; number < 8; ++number) {
      for (const auto& route : routes) {
        if (route.service.starts_with("ledger")) {
          this->SendTo(this->deployment.At(number < 3 ? 1 : 0),
                       route.service,
                       route.timeout);
        }
      }
      co_await this->deployment.Wait(50ms);
    }
    if (aHasTrouble) {
      this->record.Write("kill " + this->deployment.At(0).name);
      this->deployment.At(0).process->SendSignal(SIGKILL);
    }
    co_await this->deployment.Wait(8s);
    this->isOver = true;
    co_await this->deployment.Wait(4s);
    this->Check();
    this->deployment.Stop();
    this->context.stop();
  }

  int Result() const { return this->result; }

private:
  boost::asio::awaitable<void> SendRegularly(std::string aService,
                                             milliseconds aBudget,
                                             milliseconds aInterval)
  {
    while (!this->isOver) {
      this->SendOne(aService, aBudget);
      co_await this->deployment.Wait(aInterval * (50 + this->random() % 100) /
                                     100);
    }
  }

  void SendOne(const std::string& aService, milliseconds aBudget)
  {
    if (auto* machine = this->deployment.Next()) {
      this->SendTo(*machine, aService, aBudget);
    }
  }

  void SendTo(review::Deployment::Machine& aMachine,
              const std::string& aService,
              milliseconds aBudget)
  {
    boost::asio::co_spawn(this->context,
                          this->deployment.Send(aMachine,
                                                { .service = aService,
                                                  .isRepeatable = false,
                                                  .budget = aBudget,
                                                  .body = "one transfer" }),
                          boost::asio::detached);
  }

  void Check()
  {
    unsigned total = 0;
    unsigned served = 0;
    for (const auto& [id, request] : this->record.Requests()) {
      ++total;
      served += request.status == 200 ? 1 : 0;
      for (const auto& run : request.runs) {
        if (run.service != request.service) {
          this->result = 1;
          this->record.Write(
            fmt::format("BROKEN ROUTE: {} for {} was run by {}",
                        id,
                        request.service,
                        run.service));
        }
      }
    }
    this->record.Write(fmt::format("{} requests, {} served", total, served));
    if (served * 4 < total) {
      this->result = std::max(this->result, 2);
    }
  }

  boost::asio::io_context& context;
  review::Record& record;
  review::Deployment deployment;
  std::vector<std::unique_ptr<review::Backend>> instances;
  std::mt19937 random{ std::random_device{}() };
  bool isOver = false;
  int result = 0;
};

} // namespace

int
main()
{
  const char* trouble = std::getenv("TROUBLE");
  boost::asio::io_context context;
  const char* path = std::getenv("RECORD");
  review::Record record(path == nullptr ? "review/1/record.txt" : path);
  Case testCase(context, record);
  boost::asio::co_spawn(
    context,
    testCase.Run(trouble == nullptr || std::string_view(trouble) != "0"),
    boost::asio::detached);
  context.run();
  return testCase.Result();
}
