// The store's entries of some instances lapse, one after the other, and come
// back, since each instance was cut off from the store for a while. Each of
// them is the only one of its service. Checks that the services are still
// served afterwards.

#include "review/standins/Backend.h"
#include "review/standins/Deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <string_view>

namespace {

using namespace fireflytrail;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Services with one instance, and instances of the other service.
constexpr unsigned kLedgers = 4;
constexpr unsigned kSalesInstances = 3;
constexpr auto kLedgerWork = 700ms;
constexpr auto kSalesWork = 150ms;
// Requests differ in work by up to this share.
constexpr unsigned kSpreadPercent = 60;
// An entry is removed after three status report intervals of silence, 4.5 s.
// The cut lasts a little longer.
constexpr auto kLapse = 4500ms;
constexpr auto kCut = 4750ms;
constexpr auto kTrafficTime = 95s;
constexpr auto kLedgerInterval = 400ms;
constexpr auto kSalesInterval = 60ms;
// A kind of request may not be served less than this share as often as all.
constexpr double kMinShare = 0.25;

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
    for (unsigned index = 0; index < kLedgers; ++index) {
      routes.push_back({ .service = fmt::format("ledger-{}", index),
                         .isRepeatable = false,
                         .timeout = 2500ms,
                         .goal = 1600ms,
                         .priority = 1 });
      this->AddInstance(routes.back().service, 0, kLedgerWork);
    }
    routes.push_back({ .service = "sales",
                       .isRepeatable = false,
                       .timeout = 1500ms,
                       .goal = 400ms });
    for (unsigned index = 0; index < kSalesInstances; ++index) {
      this->AddInstance("sales", index, kSalesWork);
    }
    this->deployment.Configure(routes);
    this->deployment.Start(3);
    if (!co_await this->deployment.WaitUntilReady()) {
      this->result = 2;
      this->context.stop();
      co_return;
    }
    if (aHasTrouble) {
      boost::asio::co_spawn(
        this->context, this->CutInTurn(), boost::asio::detached);
    }
    co_await this->deployment.Wait(3s);
    const auto end = std::chrono::steady_clock::now() + kTrafficTime;
    for (const auto& route : routes) {
      const auto interval =
        route.service == "sales" ? kSalesInterval : kLedgerInterval;
      boost::asio::co_spawn(this->context,
                            this->SendRegularly(route.service, interval),
                            boost::asio::detached);
    }
    co_await this->deployment.Wait(std::chrono::duration_cast<milliseconds>(
      end - std::chrono::steady_clock::now()));
    this->isOver = true;
    co_await this->deployment.Wait(4s);
    this->Check();
    this->deployment.Stop();
    this->context.stop();
  }

  int Result() const { return this->result; }

private:
  void AddInstance(const std::string& aService,
                   unsigned aIndex,
                   milliseconds aWork)
  {
    this->instances.push_back(std::make_unique<review::Backend>(
      this->context,
      this->record,
      review::Backend::Options{
        .service = aService,
        .id = fmt::format("i-{}-{}", aService, aIndex),
        .zone = "a",
        .work = [this, aWork]() -> milliseconds {
          return aWork * (100 + this->random() % kSpreadPercent) / 100;
        } }));
    this->deployment.Add(*this->instances.back());
  }

  boost::asio::awaitable<void> CutInTurn()
  {
    for (unsigned index = 0; index < kLedgers; ++index) {
      co_await this->CutFromStore(*this->instances[index]);
    }
  }

  boost::asio::awaitable<void> CutFromStore(const review::Backend& aInstance)
  {
    const std::string& id = aInstance.Description().id;
    this->record.Write(id + " is cut off from the store");
    co_await this->deployment.Wait(kLapse);
    this->deployment.Store().Remove("servers", id);
    this->record.Write("the entry of " + id + " is removed");
    co_await this->deployment.Wait(kCut - kLapse);
    this->deployment.Add(aInstance);
    this->record.Write("the entry of " + id + " is back");
  }

  boost::asio::awaitable<void> SendRegularly(std::string aService,
                                             milliseconds aInterval)
  {
    while (!this->isOver) {
      if (auto* machine = this->deployment.Next()) {
        boost::asio::co_spawn(this->context,
                              this->deployment.Send(*machine,
                                                    { .service = aService,
                                                      .isRepeatable = false,
                                                      .budget = 5000ms,
                                                      .body = "one order" }),
                              boost::asio::detached);
      }
      co_await this->deployment.Wait(aInterval * (50 + this->random() % 100) /
                                     100);
    }
  }

  void Check()
  {
    std::map<std::string, unsigned> asked;
    std::map<std::string, unsigned> served;
    for (const auto& [id, request] : this->record.Requests()) {
      ++asked[request.service];
      served[request.service] += request.status == 200 ? 1 : 0;
    }
    unsigned askedOfAll = 0;
    unsigned servedOfAll = 0;
    for (const auto& [service, count] : asked) {
      askedOfAll += count;
      servedOfAll += served[service];
    }
    const double ofAll = static_cast<double>(servedOfAll) / askedOfAll;
    for (const auto& [service, count] : asked) {
      const double share = static_cast<double>(served[service]) / count;
      this->record.Write(fmt::format(
        "{}: {} of {} requests served", service, served[service], count));
      if (share < kMinShare * ofAll) {
        this->result = 1;
        this->record.Write(fmt::format(
          "BROKEN Starved: {} is served {:.3f}, all requests {:.3f}",
          service,
          share,
          ofAll));
      }
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
  const char* path = std::getenv("RECORD");
  boost::asio::io_context context;
  review::Record record(path == nullptr ? "review/4/record.txt" : path);
  Case testCase(context, record);
  boost::asio::co_spawn(
    context,
    testCase.Run(trouble == nullptr || std::string_view(trouble) != "0"),
    boost::asio::detached);
  context.run();
  return testCase.Result();
}
