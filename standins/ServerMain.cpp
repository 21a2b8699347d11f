#include "standins/ServerFleet.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <exception>

DEFINE_string(address, "127.0.0.1", "address of all ports of this process");
DEFINE_uint32(control_port, 0, "control port; 0 selects a free one");
DEFINE_uint64(seed, 1, "seed of the random faults");

// Prints the bound control address as one line on standard output, then serves
// until SIGINT or SIGTERM. Instances are added through the control port.
int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("stand-in for backend servers");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  try {
    boost::asio::io_context context(1);
    fireflytrail::standins::ServerFleet fleet(
      context,
      { boost::asio::ip::make_address(FLAGS_address),
        static_cast<std::uint16_t>(FLAGS_control_port) },
      FLAGS_seed);
    fmt::print("{}\n", fleet.ControlAddress());
    std::fflush(stdout);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
  } catch (const std::exception& error) {
    fmt::print(stderr, "standin_server: {}\n", error.what());
    return 1;
  }
}
