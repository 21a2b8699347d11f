#pragma once

/**
 * Record replication between entry daemons, failure detection and membership.
 *
 * `GossipNode` creates and connects the parts: `GossipState` stores and
 * reconciles the records (Scuttlebutt), `GossipExchanger` schedules exchanges
 * and selects the peers, `Membership` derives which hosts are alive,
 * `DocumentDistributor` distributes a versioned document, and `WatcherElection`
 * selects the daemons that watch the store. All classes are single-threaded,
 * owned by the control thread, and perform no I/O: clock, random numbers and
 * message sending are hooks.
 */

#include "gossip/Delta.h"
#include "gossip/DesiredRequest.h"
#include "gossip/DesiredResponse.h"
#include "gossip/Digest.h"
#include "gossip/DocumentDistributor.h"
#include "gossip/DocumentPatch.h"
#include "gossip/GossipExchanger.h"
#include "gossip/GossipMessage.h"
#include "gossip/GossipNode.h"
#include "gossip/GossipSettings.h"
#include "gossip/GossipState.h"
#include "gossip/ListedHost.h"
#include "gossip/MemberState.h"
#include "gossip/Membership.h"
#include "gossip/Record.h"
#include "gossip/WatcherElection.h"
