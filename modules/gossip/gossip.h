#pragma once

/**
 * Replicated records between entry daemons, failure detection and membership.
 *
 * `GossipNode` assembles the parts: `GossipState` holds the records and
 * reconciles them (Scuttlebutt), `GossipExchanger` decides when and with whom,
 * `Membership` derives which hosts are alive, `DesiredStateSpread` distributes
 * the desired state document, and `WatcherElection` chooses the daemons that
 * watch the store. All classes are single-threaded, owned by the control
 * thread, and perform no I/O: clock, random numbers and output are hooks.
 */

#include "gossip/Delta.h"
#include "gossip/DesiredRequest.h"
#include "gossip/DesiredResponse.h"
#include "gossip/DesiredStateSpread.h"
#include "gossip/Digest.h"
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
