#pragma once

#include <bramleymux/types.hpp>

#include <string_view>

/// Catalogue of numbered log events. Numbers are never reused. docs/events.md
/// lists all events, and a test compares it with the code.
namespace bramleymux
{

enum class event
{
    daemon_started,
    daemon_stopping,
    daemon_stopped,
    settings_invalid,
    table_adopted,
    table_invalid,
    platform_unavailable,
    platform_available,
    peer_connected,
    peer_disconnected,
    peer_message_invalid,
    member_joined,
    member_suspected,
    member_removed,
    view_changed,
    lease_gained,
    lease_lapsed,
    target_cold,
    target_unreachable,
    target_draining,
    query_refused,
    query_partial,
    move_step,
    move_withdrawn,
    move_done,
    move_at_risk,
    controller_lease_gained,
    controller_lease_lost,
    idempotency_voided,
    tls_reloaded,
    tls_reload_failed,
    settings_reloaded,
    settings_reload_failed,
    log_lines_dropped,
    desired_state_adopted,
    desired_state_ignored,
    store_call_failed,
    store_record_ignored,
    vm_count_changed,
    readiness_changed,
    target_registered,
    target_lapsed,
    target_misdirected,
    target_reachable,
    zones_out_changed,
    request_answered,
    request_failed,
    sub_request_repeated,
    caller_left,
    caller_input_refused,
    store_followed,
    gather_order_refused,
    shards_handed_back,
    delegate_lost,
    delegate_regained,
    request_dropped,
    target_rate_limit_changed,
    target_rate,
    target_paused,
    process_resumed,
    handler_failed,
    listen_failed,
    accept_failed,
    keys_stale,
    keys_current,
    duty_acquired,
    duty_lost,
    duty_released,
    duty_call_failed,
    usage_reported,
    usage_skipped,
    usage_repeated,
    clock_corrected,
    store_restored,
    state_not_in_store,
    store_object_rewritten,
    memory_full,
    caller_evicted,
    connections_full,
    reply_faulty,
    count
};

enum class event_level
{
    info,
    warning,
    error,
    count
};

struct event_info
{
    int number;
    event_level level;
    std::string_view name;
    std::string_view text; ///< description in docs/events.md
};

/// Returns the catalogue entry of an event.
const event_info&
info_of(event value);

/// Writes one log line with the event's number, its name and `detail`, which
/// consists of "key=value" pairs separated by spaces.
void
log_event(event value, std::string_view detail);

} // namespace bramleymux
