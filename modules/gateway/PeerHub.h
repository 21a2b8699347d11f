#pragma once

#include "core/DaemonId.h"
#include "gossip/GossipMessage.h"
#include "wire/ForwardAnswer.h"
#include "wire/ForwardCall.h"
#include "wire/FrameError.h"
#include "wire/Hello.h"
#include "wire/WireMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace fireflytrail::core {
class MemoryBudget;
} // namespace fireflytrail::core

namespace fireflytrail::gateway {

class TcpListener;
class PeerConnection;
struct HeldConnection;
class PeerLink;

/** Totals of the connections between daemons. */
struct PeerCounts
{
  std::uint64_t bytes = 0;
  /** Messages that `PeerHub::Send` and `SendGossip` have passed on for sending,
   * by their index in `wire::WireMessage`. Forwarded calls, their answers and
   * each `Hello` are not counted. */
  std::array<std::uint64_t, std::variant_size_v<wire::WireMessage>> sent{};
  /** Bytes of these messages, and of those of them to far peers (see
   * `PeerHubHooks::isFar`), in the same order. */
  std::array<std::uint64_t, std::variant_size_v<wire::WireMessage>> sentBytes{};
  std::array<std::uint64_t, std::variant_size_v<wire::WireMessage>>
    sentFarBytes{};
  /** Messages dropped because the connection could not be opened or because too
   * much was queued for it. */
  std::uint64_t dropped = 0;
  std::uint64_t corruptFrames = 0;
  std::uint64_t unknownVersions = 0;
  /** Accepted connections that were closed to make place for others. */
  std::uint64_t connectionsDropped = 0;
};

/** Receivers of the peers' messages. They are called on the hub's thread. */
struct PeerHubHooks
{
  using ReplyFunction = std::function<void(wire::ForwardAnswer)>;

  /** Receives a gossip message and the name of its sender. */
  std::function<void(const std::string&, const gossip::GossipMessage&)>
    onGossip;
  /** Optional: receives any other message and the process that sent it. */
  std::function<void(const core::DaemonId&, const wire::WireMessage&)>
    onMessage;
  /** Receives a call to run. Call the reply function only on the hub's thread.
   */
  std::function<void(wire::ForwardCall, ReplyFunction)> onForwardCall;
  /** Optional: returns whether bytes to a peer, given its address, are billed.
   */
  std::function<bool(const std::string&)> isFar = nullptr;
  /** Optional: bounds the incomplete frames of all connections together. */
  std::shared_ptr<core::MemoryBudget> memory = nullptr;
  /** Accepted connections beyond which one is closed for each new one: the
   * oldest without a `Hello`, else the one that was silent longest. */
  std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
};

/**
 * The connections to other daemons. Each daemon opens one connection to each
 * peer that it sends to, on first use; answers to forwarded calls are sent on
 * the connection that carried the call. Belongs to the control thread.
 */
class PeerHub : public std::enable_shared_from_this<PeerHub>
{
public:
  /** How far a forwarded call got. */
  enum class ForwardProgress : std::uint8_t
  {
    NothingSent,
    Sent,
    Answered,
  };
  using ForwardFunction =
    std::function<void(ForwardProgress, std::optional<wire::ForwardAnswer>)>;

  /** All hooks must be set, except optional ones. */
  PeerHub(boost::asio::io_context& aContext,
          core::DaemonId aSelf,
          PeerHubHooks aHooks);
  ~PeerHub();
  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;

  /** Starts listening. Returns an error if the address cannot be bound. */
  boost::system::error_code Open(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Returns the bound endpoint; `Open` must have succeeded. */
  boost::asio::ip::tcp::endpoint LocalEndpoint() const;

  /** Sends a gossip message; it is dropped if the peer cannot be reached. */
  void SendGossip(const gossip::Peer& aPeer,
                  const gossip::GossipMessage& aMessage);

  /** Sends any other message; it is dropped if the peer cannot be reached. */
  void Send(const gossip::Peer& aPeer, wire::WireMessage aMessage);

  /**
   * Forwards a call and calls `aOnEnd` once. Sets the call's request id.
   */
  void Forward(const gossip::Peer& aPeer,
               wire::ForwardCall aCall,
               ForwardFunction aOnEnd);

  /** Closes all connections and stops listening. */
  void Close();

  /** Returns the totals since the start. */
  const PeerCounts& Counts() const { return this->counts; }

private:
  friend class PeerLink;

  std::shared_ptr<PeerLink> FindOrCreateLink(const gossip::Peer& aPeer);
  /** An accepted connection. */
  struct Accepted
  {
    std::weak_ptr<PeerConnection> connection;
    std::shared_ptr<HeldConnection> use;
    boost::asio::ip::address address;
  };

  void StartReading(boost::asio::ip::tcp::socket aSocket);
  /** Closes an accepted connection if there are as many as allowed. */
  void MakePlace();
  /** Returns whether the sender is known, or may become so. */
  bool OnHello(const wire::Hello& aHello);
  void CountError(wire::FrameError aError);
  /** Counts a message of a size that was sent, or dropped if it is 0. */
  void CountSent(const boost::asio::ip::tcp::endpoint& aPeer,
                 const wire::WireMessage& aMessage,
                 std::size_t aBytes);
  wire::Hello OwnHello() const;

  boost::asio::io_context& context;
  core::DaemonId self;
  PeerHubHooks hooks;
  PeerCounts counts;
  std::shared_ptr<TcpListener> listener;
  /** By the peer's address, since a daemon name may move to another host. */
  std::map<std::string, std::shared_ptr<PeerLink>, std::less<>> links;
  /** Addresses that peers stated in their `Hello`, by name. Used for answers to
   * a peer whose gossip record has not arrived yet. */
  std::map<std::string, std::string, std::less<>> helloAddresses;
  /** The start numbers of the processes that sent the last `Hello`, by name. */
  std::map<std::string, std::uint64_t, std::less<>> processes;
  std::map<const PeerConnection*, Accepted> acceptedConnections;
};

} // namespace fireflytrail::gateway
