#include "standins/PlatformStandin.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <exception>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 selects a free one");
DEFINE_double(read_limit, 2000, "reads per second across all clients");
DEFINE_double(write_limit, 300, "writes per second across all clients");

// Prints the bound address as one line on standard output, then serves until
// SIGINT or SIGTERM.
int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("stand-in for the platform's object API");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  try {
    boost::asio::io_context context(1);
    fireflytrail::standins::PlatformStandin platform(
      context,
      { boost::asio::ip::make_address(FLAGS_address),
        static_cast<std::uint16_t>(FLAGS_port) },
      { .readLimit = FLAGS_read_limit, .writeLimit = FLAGS_write_limit });
    fmt::print("{}\n", platform.Address());
    std::fflush(stdout);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
  } catch (const std::exception& error) {
    fmt::print(stderr, "standin_platform: {}\n", error.what());
    return 1;
  }
}
