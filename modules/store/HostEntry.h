#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::store {

/** What a host in the platform's host list runs. */
enum class HostKind : std::uint8_t
{
  Entry,
  Server,
};

/** State of a host in the platform's host list. */
enum class HostState : std::uint8_t
{
  Live,
  Leaving,
};

/** One host in the platform's host list. Addresses have the form `IP:PORT`. */
struct HostEntry
{
  std::string id;
  HostKind kind = HostKind::Server;
  /** Service and version of a server; empty for an entry host. */
  std::string service;
  std::string version;
  std::string address;
  /** Addresses of an entry daemon; empty for a server. */
  std::string peerAddress;
  std::string operatorAddress;
  std::string domain;
  std::string region;
  HostState state = HostState::Live;

  bool operator==(const HostEntry&) const = default;
};

} // namespace fireflytrail::store
