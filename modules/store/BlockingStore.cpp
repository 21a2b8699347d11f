#include "store/BlockingStore.h"

#include <functional>
#include <optional>
#include <random>
#include <utility>

namespace fireflytrail::store {

namespace {

core::RandomFunction
MakeRandom()
{
  return [generator = std::mt19937_64(std::random_device{}())]() mutable {
    return generator();
  };
}

template<typename T>
T
Await(boost::asio::io_context& aContext,
      const std::function<void(std::function<void(T)>)>& aStart)
{
  std::optional<T> result;
  aStart([&](T aResult) { result = std::move(aResult); });
  aContext.restart();
  while (!result) {
    aContext.run_one();
  }
  return std::move(*result);
}

} // namespace

BlockingStore::BlockingStore(boost::asio::ip::tcp::endpoint aEndpoint,
                             StoreClientSettings aSettings)
  : store(this->context, std::move(aEndpoint), MakeRandom(), aSettings)
{
}

StoreResult
BlockingStore::Read(const std::string& aKey)
{
  return Await<StoreResult>(this->context, [&](auto aDone) {
    this->store.Client().Read(aKey, std::move(aDone));
  });
}

StoreResult
BlockingStore::Write(const std::string& aKey,
                     const std::string& aBody,
                     std::uint64_t aExpected)
{
  return Await<StoreResult>(this->context, [&](auto aDone) {
    this->store.Client().Write(aKey, aBody, aExpected, std::move(aDone));
  });
}

StoreResult
BlockingStore::Watch(const std::string& aKey, std::uint64_t aVersion)
{
  return Await<StoreResult>(this->context, [&](auto aDone) {
    this->store.Client().Watch(aKey, aVersion, std::move(aDone));
  });
}

HostsResult
BlockingStore::Hosts()
{
  return Await<HostsResult>(this->context, [&](auto aDone) {
    this->store.Client().Hosts(0, std::move(aDone));
  });
}

} // namespace fireflytrail::store
