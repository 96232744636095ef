#pragma once

#include <bramleymux/types.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Message types between VMs and the interface that sends them. Each message
/// is encoded as a CBOR map; the field "type" holds a name of
/// `peer_message_type_names`.
namespace bramleymux
{

enum class peer_message_type
{
    hello,
    probe,
    ack,
    probe_request,
    leave,
    view_request,
    view_ack,
    view_release,
    sub_batch,
    sub_reply,
    cancel,
    table,
    target_report,
    evidence,
    withdrawal,
    claim_void,
    count
};

inline constexpr name_table<peer_message_type> peer_message_type_names{"hello",
    "probe", "ack", "probe_request", "leave", "view_request", "view_ack",
    "view_release", "sub_batch", "sub_reply", "cancel", "table",
    "target_report", "evidence", "withdrawal", "claim_void"};

/// Identity of one run of one VM. A restarted VM has a higher `incarnation`.
struct vm_identity
{
    std::string id;
    std::string zone;
    std::string peer_address; ///< IP:port
    std::uint64_t incarnation = 0;
};

struct peer_message
{
    peer_message_type type = peer_message_type::count;
    std::string from; ///< VM id
    std::uint64_t from_incarnation = 0;
    nlohmann::json body; ///< JSON object
};

/// Sends without blocking; a message to an unreachable peer is dropped.
class peer_transport
{
public:
    virtual ~peer_transport() = default;

    /// Returns false if the message was dropped. If the peer has no open link,
    /// one is then being opened.
    virtual bool
    send(const vm_identity& to, const peer_message& message) = 0;
};

using peer_message_handler = std::function<void(peer_message)>;

} // namespace bramleymux
