#pragma once

#include "ownership.hpp"
#include "peer.hpp"

#include <vector>

/// Converts ownership messages to and from peer messages.
namespace bramleymux
{

peer_message
to_message(const view_request& request);

peer_message
to_message(const view_ack& ack);

peer_message
to_message(const view_release& release);

/// Returns false if a field is missing or of a wrong type; `out` may then be
/// partly filled. The sender is taken from the envelope, where the peer link
/// has set it. Lists are cut at `config::max_vms` and `config::max_targets`.
bool
parse_message(const peer_message& message, view_request& out);

bool
parse_message(const peer_message& message, view_ack& out);

bool
parse_message(const peer_message& message, view_release& out);

} // namespace bramleymux
