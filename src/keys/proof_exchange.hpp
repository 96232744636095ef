#pragma once

#include "call_channel.hpp"
#include "decision_log.hpp"
#include "keys/freshness_message.hpp"
#include "keys/state_proof.hpp"
#include "metrics.hpp"
#include "relay_plan.hpp"

#include <functional>
#include <memory>
#include <random>

/// Keeps this VM's proof that it knows the keys of the workspaces as of a
/// recent time: takes proofs of the store, asks other VMs, and answers them.
namespace bramleymux
{

/// The desired state in force.
struct state_in_force
{
    bool has_workspaces = false;
    std::uint64_t version = 0; ///< 0 without a state
    store_revision revision;   ///< of its object in the store
    std::uint64_t store_era = 0;
    /// Payload of the object; null if this VM no longer holds it.
    const std::string* payload = nullptr;
};

struct proof_handlers
{
    std::function<state_in_force()> state;
    /// Adopts the state of an answer if it is newer than the one in force.
    std::function<void(const freshness_answer&)> adopt;
};

class proof_exchange
{
public:
    using reply_handler = std::function<void(http_reply&&)>;

    proof_exchange(boost::asio::io_context& loop, metrics& counters,
        decision_log& log, proof_handlers handlers);

    /// Sets the time after the revocation of a key from which no VM accepts
    /// it. Without a bound, keys are always current and no VM is asked.
    void
    set_bound(std::optional<duration> bound);

    /// Sets the registered VMs, of which `self` is this one.
    void
    set_vms(const std::vector<registered_vm>& vms, const registered_vm& self);

    /// Records a successful list or watch of the desired state that was sent at
    /// this boot time, after what it returned has been applied, in an era of
    /// the store.
    void
    record_store_proof(duration sent_at, std::uint64_t era);

    /// Returns whether the keys are known as of so recently that no revoked one
    /// is accepted. Reads the clock, so it also holds after a freeze.
    bool
    is_current() const;

    /// Returns the longest wait of a watch of the desired state; nullopt if no
    /// proof is needed. Only the first relay of each zone watches for all,
    /// since every call to the store costs; the others do when their questions
    /// fail.
    std::optional<duration>
    watch_wait() const;

    /// Answers the question of another VM at once.
    void
    serve(const std::string& path, const reply_handler& reply) const;

    /// Asks another VM if it is due, and updates gauges.
    void
    tick();

private:
    bool
    is_needed() const;
    /// Returns whether proofs count: no other VM knows a newer state.
    bool
    is_restart_checked() const;
    void
    ask(const std::string& address);
    void
    on_answer(
        duration asked_at, const std::string& address, const call_reply& reply);
    call_channel&
    channel_to(const std::string& address);
    void
    report(duration now);

    boost::asio::io_context& loop_;
    metrics& metrics_;
    decision_log& log_;
    proof_handlers handlers_;
    std::mt19937_64 random_;
    std::optional<duration> bound_;
    state_proof proof_;
    proof_sources sources_;
    question_state questions_;
    restart_check restart_;
    std::vector<std::unique_ptr<call_channel>> channels_; ///< oldest first
    duration started_at_;
    bool asking_ = false;
    bool watches_for_others_ = true; ///< this VM is the first relay of its zone
    bool reported_stale_ = false;
};

} // namespace bramleymux
