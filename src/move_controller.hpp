#pragma once

#include "blackboard.hpp"
#include "peer.hpp"
#include "report_controller.hpp"
#include "version_move.hpp"

#include <mutex>
#include <string>
#include <vector>

/// Runs the version moves on this VM: collects evidence from queries and peers,
/// publishes the version shares that queries use, and provides the results that
/// have to be written to the table.
namespace bramleymux
{

/// Thread-safe; only the control thread may run the cycle. Keeps references to
/// the board, the reports and the transport, which must outlive it.
class move_controller
{
public:
    move_controller(blackboard& board, report_controller& reports,
        peer_transport& peers, vm_identity self);

    /// Records a reply as evidence. Called by the query threads for each reply.
    void
    record_reply(const version_reply& reply);

    /// Processes an evidence or withdrawal message; ignores other types.
    void
    on_message(const peer_message& message);

    /// Runs one cycle on the control thread: tests the new versions, advances
    /// moves, publishes the shares, and sends evidence and new withdrawals to
    /// the peers.
    void
    run_control_cycle(
        const std::vector<vm_identity>& peers, monotonic_time now);

    /// Returns the withdrawals that the table does not hold yet.
    std::vector<withdrawal>
    withdrawals_to_save() const;

    /// Returns the names of done moves that are still active in the table.
    std::vector<std::string>
    completions_to_save() const;

    /// Returns the status of all moves, for the admin API.
    nlohmann::json
    status() const;

private:
    std::map<std::string, move_inputs>
    read_inputs(const catalog& topology) const;
    void
    log_move_events(const std::vector<move_event>& events);
    void
    send_to_all(
        const std::vector<vm_identity>& peers, const peer_message& message);
    void
    send_withdrawals(const std::vector<vm_identity>& peers);

    blackboard& board_;
    report_controller& reports_;
    peer_transport& peers_;
    const vm_identity self_;
    mutable std::mutex mutex_;
    version_moves moves_;                             ///< guarded by `mutex_`
    std::shared_ptr<const catalog> applied_topology_; ///< last one in `moves_`
    monotonic_time next_evidence_at_{};
    std::size_t withdrawals_sent_ = 0; ///< number of withdrawals last sent
};

} // namespace bramleymux
