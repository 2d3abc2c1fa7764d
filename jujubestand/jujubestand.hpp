#ifndef JUJUBESTAND_JUJUBESTAND_HPP
#define JUJUBESTAND_JUJUBESTAND_HPP

/// \file
/// \brief All parts that embedders use: the decisions, and the transport.

#include <jujubestand/admission/queue.hpp>
#include <jujubestand/claims/claimant.hpp>
#include <jujubestand/config/store.hpp>
#include <jujubestand/core/event.hpp>
#include <jujubestand/core/failure_point.hpp>
#include <jujubestand/core/hybrid_time.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/core/verdict.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/link/node.hpp>
#include <jujubestand/placement/placement.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <jujubestand/prefix/belief.hpp>
#include <jujubestand/prefix/chain.hpp>
#include <jujubestand/quarantine/call_keys.hpp>
#include <jujubestand/quarantine/culprits.hpp>
#include <jujubestand/quarantine/evidence.hpp>
#include <jujubestand/quarantine/strike.hpp>
#include <jujubestand/retries/circuit.hpp>
#include <jujubestand/retries/reserve_share.hpp>
#include <jujubestand/retries/retry.hpp>

#endif
