#include "store/StoreTransport.h"

#include "store/StoreRequest.h"
#include "store/StoreResponse.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>

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

// Guards against a field in an answer of the store that ends the daemon: the
// container of fields throws.
BOOST_AUTO_TEST_CASE(FieldsThatNoContainerHoldsFailTheRequest)
{
  const std::string field = "Field: " + std::string(65'536, 'x') + "\r\n\r\n";
  for (const std::string& answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + field,
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
           field }) {
    boost::asio::io_context context;
    tcp::acceptor store(context, { tcp::v4(), 0 });
    std::thread thread([&] {
      boost::system::error_code error;
      tcp::socket socket = store.accept();
      std::string request;
      boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
      boost::asio::write(socket, boost::asio::buffer(answer), error);
      boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(request), "end", error);
    });
    StoreTransport transport(
      context,
      tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                    store.local_endpoint().port()));
    std::optional<StoreResponse> response;
    StoreRequest request;
    request.kind = StoreRequestKind::RawRead;
    request.target = "/objects/servers";
    request.timeout = 5s;
    transport.Send(request, [&](StoreResponse aResponse) {
      response = std::move(aResponse);
    });
    while (!response && context.run_one_for(6s) != 0) {
    }
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST((response->delivery == StoreDelivery::Lost));
    thread.join();
  }
}
