#pragma once

#include "ownership.hpp"
#include "peer.hpp"

#include <vector>

/// Ownership messages as peer messages.
namespace bramleymux
{

peer_message
to_message(const view_request& request);

peer_message
to_message(const view_ack& ack);

peer_message
to_message(const view_release& release);

/// False when a field is missing or out of range. The sender is taken from
/// the message, which the peer link has checked.
bool
parse_message(const peer_message& message, view_request& out);

bool
parse_message(const peer_message& message, view_ack& out);

bool
parse_message(const peer_message& message, view_release& out);

} // namespace bramleymux
