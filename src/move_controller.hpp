#pragma once

#include "blackboard.hpp"
#include "peer.hpp"
#include "report_controller.hpp"
#include "version_move.hpp"

#include <mutex>
#include <string>
#include <vector>

/// Version moves of this VM: evidence from its queries and its peers, the
/// shares that its queries use, and what has to be written to the table.
namespace bramleymux
{

class move_controller
{
public:
    move_controller(blackboard& board, report_controller& reports,
        peer_transport& peers, vm_identity self);

    /// Called by every query thread for each reply.
    void
    note_reply(const version_reply& reply);

    /// Takes an evidence or withdrawal message.
    void
    on_message(const peer_message& message);

    /// Runs on the control thread: tests, steps, and messages to the peers.
    void
    frame(const std::vector<vm_identity>& peers, monotonic_time now);

    /// Withdrawals and completions that the table does not hold yet.
    std::vector<withdrawal>
    withdrawals_to_save() const;

    std::vector<std::string>
    completions_to_save() const;

    nlohmann::json
    status() const;

private:
    std::map<std::string, move_inputs>
    read_inputs(const catalog& topology) const;
    void
    handle(const std::vector<move_event>& events);
    void
    send(const std::vector<vm_identity>& peers, const peer_message& message);
    void
    send_withdrawals(const std::vector<vm_identity>& peers);

    blackboard& board_;
    report_controller& reports_;
    peer_transport& peers_;
    const vm_identity self_;
    mutable std::mutex mutex_;
    version_moves moves_; ///< under `mutex_`
    std::shared_ptr<const catalog> applied_;
    monotonic_time next_evidence_{};
    std::size_t withdrawals_sent_ = 0;
};

} // namespace bramleymux
