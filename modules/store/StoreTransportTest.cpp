#include "store/StoreTransport.h"

#include "store/StoreRequest.h"
#include "store/StoreResponse.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

using namespace fireflytrail::store;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Guards against a daemon that crashes at the end of a planned stop: the end of
// a request that waited for the store was reported to objects that were gone.
BOOST_AUTO_TEST_CASE(RequestsEndSilentlyWithTheTransport)
{
  boost::asio::io_context context;
  // Accepts connections in the kernel and never answers.
  tcp::acceptor store(context, { tcp::v4(), 0 });
  auto transport = std::make_unique<StoreTransport>(
    context,
    tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                  store.local_endpoint().port()));
  bool isCalled = false;
  StoreRequest request;
  request.kind = StoreRequestKind::RawRead;
  request.target = "/objects/servers";
  request.timeout = 10s;
  transport->Send(request, [&isCalled](StoreResponse) { isCalled = true; });
  context.run_for(50ms);
  BOOST_TEST(!isCalled);
  transport.reset();
  context.restart();
  context.run_for(50ms);
  BOOST_TEST(!isCalled);
}
