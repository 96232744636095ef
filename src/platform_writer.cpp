#include "platform_writer.hpp"

#include "config.hpp"
#include "log_events.hpp"
#include "table_edit.hpp"

namespace bramleymux
{

using nlohmann::json;

namespace
{

std::int64_t
unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

platform_writer::platform_writer(writer_platforms platforms,
    idempotency_store& records, move_controller& moves, blackboard& board,
    peer_transport& peers, vm_identity self, peer_list live_peers,
    status_source status)
    : platforms_(platforms), records_(records), moves_(moves), board_(board),
      peers_(peers), self_(std::move(self)), live_peers_(std::move(live_peers)),
      status_(std::move(status)),
      lease_(make_lease(std::string(controller_lease_key),
          self_.id + "/" + std::to_string(self_.incarnation)))
{
}

platform_writer::~platform_writer()
{
    stop();
}

void
platform_writer::start()
{
    thread_ = std::thread([this] { run(); });
}

void
platform_writer::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

bool
platform_writer::holds_lease() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return holds_lease_;
}

void
platform_writer::run()
{
    for (;;)
    {
        const monotonic_time now = monotonic_clock::now();
        maintain_lease(lease_, platforms_.lease, monotonic_clock::now);
        const bool held = holds(lease_, monotonic_clock::now());
        const std::size_t resolved = records_.retry_pending({now, unix_ms()});
        if (resolved > 0)
        {
            log_event(event::idempotency_voided,
                "records=" + std::to_string(resolved));
        }
        send_voids();
        save_moves(now);
        if (held)
        {
            run_holder_tasks(now);
        }
        std::unique_lock<std::mutex> lock(mutex_);
        if (held != holds_lease_)
        {
            holds_lease_ = held;
            log_event(held ? event::controller_lease_gained
                           : event::controller_lease_lost,
                "term=" + std::to_string(lease_.term));
        }
        wake_.wait_for(
            lock, config::platform_writer_period, [this] { return stopping_; });
        if (stopping_)
        {
            break;
        }
    }
    release_lease(lease_, platforms_.lease);
}

/// Returns an edit without changes. Its id is unique if `edit_count_` was
/// incremented since the last call.
table_edit
platform_writer::make_table_edit(const std::string& purpose) const
{
    table_edit edit;
    edit.id = self_.id + "-" + std::to_string(self_.incarnation) + "-" +
              purpose + "-" + std::to_string(edit_count_);
    edit.author = "bramleymux/" + self_.id;
    edit.at_ms = unix_ms();
    return edit;
}

/// Writes withdrawals and completions of moves to the table. The lease holder
/// writes at once; other VMs write after `config::save_by_others_delay`, in
/// case no VM holds the lease or the holder cannot reach the platform.
void
platform_writer::save_moves(monotonic_time now)
{
    const std::vector<withdrawal> withdrawals = moves_.withdrawals_to_save();
    const std::vector<std::string> completions = moves_.completions_to_save();
    if (withdrawals.empty() && completions.empty())
    {
        unsaved_since_ = {};
        return;
    }
    if (unsaved_since_ == monotonic_time{})
    {
        unsaved_since_ = now;
    }
    const bool due = holds(lease_, now) ||
                     now - unsaved_since_ >= config::save_by_others_delay;
    if (!due)
    {
        return;
    }
    for (const withdrawal& w : withdrawals)
    {
        ++edit_count_;
        // A withdrawal that could not be written stays in the list for the
        // next pass.
        withdraw_move(
            platforms_.table, w.move, w.cause, make_table_edit("withdraw"));
    }
    for (const std::string& move : completions)
    {
        ++edit_count_;
        finish_move(platforms_.table, move, make_table_edit("finish"));
    }
}

/// Sends the voids that are not written yet to `config::claim_void_copies` live
/// peers.
void
platform_writer::send_voids()
{
    json items = json::array();
    for (const voided_claim& note : records_.pending_voids())
    {
        items.push_back({{"key", note.key}, {"attempt", note.attempt},
            {"fingerprint", note.fingerprint}, {"at_ms", note.at_ms}});
    }
    if (items.empty())
    {
        return;
    }
    const peer_message message{peer_message_type::claim_void, self_.id,
        self_.incarnation, json{{"items", std::move(items)}}};
    std::size_t sent = 0;
    for (const vm_identity& peer : live_peers_())
    {
        if (peers_.send(peer, message) && ++sent == config::claim_void_copies)
        {
            break;
        }
    }
}

void
platform_writer::on_message(const peer_message& message)
{
    try
    {
        for (const json& item : message.body.at("items"))
        {
            records_.add_void({item.at("key").get<std::string>(),
                                  item.at("attempt").get<std::string>(),
                                  item.at("fingerprint").get<std::string>(),
                                  item.at("at_ms").get<std::int64_t>()},
                {monotonic_clock::now(), unix_ms()});
        }
    }
    catch (const json::exception&)
    {
        log_event(event::peer_message_invalid, "type=claim_void");
    }
}

/// Writes the status object and deletes expired records, each at its own
/// period. Requires the lease.
void
platform_writer::run_holder_tasks(monotonic_time now)
{
    if (now >= next_status_)
    {
        next_status_ = now + config::fleet_status_period;
        fenced_put(lease_, platforms_.status, "status/fleet", status_(),
            monotonic_clock::now);
    }
    if (now >= next_expiry_)
    {
        next_expiry_ = now + config::idempotency_sweep_period;
        std::vector<std::string> services;
        if (const auto topology = board_.topology.get())
        {
            for (const catalog_service& service : topology->services)
            {
                if (service.self.is_valid())
                {
                    services.push_back(service.name);
                }
            }
        }
        if (!services.empty())
        {
            expire_records(platforms_.list, services, expiry_, unix_ms());
        }
    }
}

} // namespace bramleymux
