#pragma once

#include "idempotency.hpp"
#include "metrics.hpp"
#include "move_controller.hpp"
#include "peer.hpp"
#include "platform_lease.hpp"
#include "table_edit.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

/// Background writes to the platform. Every VM saves withdrawals and
/// completions of moves to the table, and voids of claims; only the holder of
/// the controller lease writes the status object and deletes expired
/// idempotency records.
namespace bramleymux
{

/// The platform under the budget of each kind of call.
struct writer_platforms
{
    platform_api& table;
    platform_api& lease;
    platform_api& status;
    platform_api& list;
};

/// Runs one thread. `on_message` and `holds_lease` may be called from any
/// thread.
class platform_writer
{
public:
    /// Returns the live peers; they void this VM's refused claims if it dies.
    using peer_list = std::function<std::vector<vm_identity>()>;
    /// Returns the value of the status object.
    using status_source = std::function<nlohmann::json()>;

    platform_writer(writer_platforms platforms, idempotency_store& records,
        move_controller& moves, blackboard& board, peer_transport& peers,
        vm_identity self, peer_list live_peers, status_source status);
    ~platform_writer();

    platform_writer(const platform_writer&) = delete;
    platform_writer&
    operator=(const platform_writer&) = delete;

    void
    start();

    /// Releases the lease and joins the thread.
    void
    stop();

    /// Handles a claim_void message from a peer.
    void
    on_message(const peer_message& message);

    bool
    holds_lease() const;

private:
    void
    run();
    void
    save_moves(monotonic_time now);
    void
    send_voids();
    void
    run_holder_tasks(monotonic_time now);
    table_edit
    make_table_edit(const std::string& purpose) const;

    writer_platforms platforms_;
    idempotency_store& records_;
    move_controller& moves_;
    blackboard& board_;
    peer_transport& peers_;
    const vm_identity self_;
    peer_list live_peers_;
    status_source status_;
    platform_lease lease_; ///< used by the thread only
    expiry_cursor expiry_;
    monotonic_time next_status_{};
    monotonic_time next_expiry_{};
    monotonic_time unsaved_since_{};
    std::uint64_t edit_count_ = 0;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool holds_lease_ = false;
    std::thread thread_;
};

} // namespace bramleymux
