#include "soak_run.hpp"

#include "stream_socket.hpp"

#include <stdexcept>
#include <unistd.h>

namespace bramleymux::soak
{

using boost::system::error_code;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t vm_count = 3;
// Runs on one machine use different blocks of 127.3.0.0/16.
constexpr int address_blocks = 120;
constexpr const char* block_lock_port = ".250:8080";

// The VMs have adopted the first desired state and reached the targets by then.
constexpr auto warm_up = 3s;
constexpr auto tick_period = 5ms;
// A tick that is later by more than this counts as a stall of this process.
constexpr auto longest_tick = 20ms;
// A target sees a request at the latest this long after its end at the caller.
constexpr auto settle_time = 1500ms;
// A VM that was stopped or cut off within this time may still be behind.
constexpr auto stable_window = 4s;
// After a restore, the store refuses calls for a moment, and the operator and
// the targets write their objects again later than that.
constexpr auto store_outage = 300ms;
constexpr auto owners_delay = 2s;
// The call that a cut leaves without a reply ends this late.
constexpr auto cut_effect = 6s;
// Stops in all within which a VM still hears of a change before the restore.
constexpr auto short_stops = 800ms;
// Time in which a target that said that it leaves may get no requests.
constexpr auto departure_time = 5s;
// A process that is younger may not have installed its signal handlers.
constexpr auto signal_age = 2500ms;

std::string
network(int block, int zone)
{
    return "127.3." + std::to_string(2 * block + zone);
}

std::vector<vm_place>
places_in(int block)
{
    const std::string north = network(block, 1);
    const std::string south = network(block, 2);
    return {{"vm-1-1", "north", north + ".1"},
        {"vm-1-2", "north", north + ".2"}, {"vm-2-1", "south", south + ".1"}};
}

} // namespace

soak_run::soak_run(const soak_options& options)
    : options_(options), journal_(monotonic_clock::now()), report_(journal_),
      deployment_(loop_, options.seed, {"north", "south"}, vm_count),
      restart_delays_(vm_count), cuts_(vm_count),
      schedule_(make_schedule(
          options.seed, std::chrono::seconds(options.seconds), vm_count)),
      start_(monotonic_clock::now() + warm_up),
      last_tick_(monotonic_clock::now())
{
    if (options.restores_only)
    {
        keep_restores_only(schedule_);
    }
    std::vector<std::string> readiness;
    for (const vm_place& place : places_in(lock_address_block()))
    {
        vms_.push_back(std::make_unique<vm_process>(place, options.program,
            options.directory, deployment_.store.address(vms_.size()),
            journal_));
        readiness.push_back(place.readiness_address());
        world_.vms.push_back(*parse_endpoint(place.caller_address()));
    }
    balancer_ = std::make_unique<balancer>(loop_, readiness);
    world_.choose_vm = [this](std::mt19937_64& random)
    { return balancer_->choose(random); };
    world_.idle_timeout = [this]() -> duration
    { return std::chrono::milliseconds(deployment_.state().idle_timeout_ms); };
    world_.next_id = [this] { return ++last_id_; };
    world_.choose_key = [this](std::mt19937_64& random)
    { return deployment_.choose_key(random); };
    world_.on_end = [this](const attempt& a) { unjudged_.push_back(a); };
}

/// Returns a block of addresses that no other run uses. Binding a port in it
/// keeps it until this run ends.
int
soak_run::lock_address_block()
{
    for (int i = 0; i < address_blocks; ++i)
    {
        const int block = (::getpid() + i) % address_blocks;
        const auto endpoint =
            *parse_endpoint(network(block, 1) + block_lock_port);
        error_code error;
        block_lock_ = boost::asio::ip::tcp::acceptor(loop_);
        block_lock_.open(endpoint.protocol(), error);
        block_lock_.bind(endpoint, error);
        if (!error)
        {
            return block;
        }
    }
    throw std::runtime_error("no free block of loopback addresses");
}

const report&
soak_run::run()
{
    for (const auto& vm : vms_)
    {
        if (!vm->start())
        {
            report_.add_fault(vm->place.id + " cannot be started");
            return report_;
        }
    }
    tick();
    start_callers();
    await_next_fault();
    loop_.run();
    judge_until(monotonic_time::max());
    return report_;
}

void
soak_run::start_callers()
{
    for (std::size_t i = 0; i < options_.callers; ++i)
    {
        callers_.push_back(
            std::make_unique<caller>(loop_, i, options_.seed, world_));
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(loop_);
    timer->expires_at(start_);
    timer->async_wait(
        [this, timer](error_code)
        {
            for (const auto& c : callers_)
            {
                c->start();
            }
        });
}

void
soak_run::await_next_fault()
{
    const bool last = next_fault_ == schedule_.size();
    fault_timer_.expires_at(
        start_ + (last ? duration(std::chrono::seconds(options_.seconds))
                       : schedule_[next_fault_].at));
    fault_timer_.async_wait(
        [this, last](error_code)
        {
            if (last)
            {
                ending_ = true;
                return;
            }
            apply(schedule_[next_fault_++]);
            await_next_fault();
        });
}

void
soak_run::apply(const planned_fault& fault)
{
    const bool of_store = fault.kind == fault_kind::odd_entry ||
                          fault.kind == fault_kind::leave ||
                          fault.kind == fault_kind::cut_store ||
                          fault.kind == fault_kind::restore;
    if (of_store)
    {
        report_.count_fault(fault.kind, apply_to_store(fault));
        return;
    }
    if (fault.kind != fault_kind::new_state)
    {
        report_.count_fault(fault.kind, apply_to_vm(fault));
        return;
    }
    journal_.note("", "new state: " + describe(fault.state));
    deployment_.set_state(fault.state);
    report_.count_fault(fault.kind, true);
}

bool
soak_run::takes_signals(std::size_t vm) const
{
    return vms_[vm]->is_in_service() && balancer_->is_ready(vm) &&
           monotonic_clock::now() - vms_[vm]->started_at() > signal_age;
}

void
soak_run::after(duration wait, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(loop_);
    timer->expires_after(wait);
    timer->async_wait(
        [timer, action = std::move(action)](error_code) { action(); });
}

bool
soak_run::apply_to_store(const planned_fault& fault)
{
    if (fault.kind == fault_kind::odd_entry)
    {
        journal_.note("", "odd entry " + std::to_string(fault.choice));
        deployment_.write_odd_entry(fault.choice);
        return true;
    }
    if (fault.kind == fault_kind::leave)
    {
        if (!deployment_.leave())
        {
            return false;
        }
        journal_.note("", "a target leaves");
        after(fault.length, [this] { deployment_.come_back(); });
        return true;
    }
    if (fault.kind == fault_kind::restore)
    {
        return restore_store(fault);
    }
    auto& cuts = cuts_[fault.vm];
    const monotonic_time now = monotonic_clock::now();
    if (!cuts.empty() && cuts.back().to > now)
    {
        return false;
    }
    cuts.push_back({now, now + fault.length});
    journal_.note(vms_[fault.vm]->place.id, "cut from the store");
    deployment_.store.set_cut(fault.vm, true);
    after(fault.length,
        [this, vm = fault.vm] { deployment_.store.set_cut(vm, false); });
    return true;
}

bool
soak_run::restore_store(const planned_fault& fault)
{
    if (!deployment_.announce_leaving())
    {
        return false;
    }
    journal_.note("", "a copy of the store is kept; a target will leave");
    copied_at_ = monotonic_clock::now();
    knew_departure_at_.assign(vms_.size(), monotonic_time{});
    const duration restored = fault.length;
    after(restored,
        [this]
        {
            note_departure_known(monotonic_clock::now());
            journal_.note("", "the store goes back to the copy");
            deployment_.store.set_refusing(true);
            deployment_.store.restore();
        });
    after(restored + store_outage,
        [this] { deployment_.store.set_refusing(false); });
    after(restored + store_outage + owners_delay,
        [this] { deployment_.write_again(); });
    after(restored + store_outage + owners_delay + departure_time,
        [this] { deployment_.come_back(); });
    return true;
}

/// Returns whether the VM may not have followed the store since the copy was
/// kept: it was cut off, frozen or too young.
bool
soak_run::may_have_missed_copy(std::size_t vm, monotonic_time now) const
{
    const duration cut =
        covered_time(cuts_[vm], {copied_at_ - cut_effect, now});
    return cut > duration::zero() ||
           covered_time(vms_[vm]->stops(), {copied_at_, now}) > short_stops ||
           vms_[vm]->started_at() + stable_window > copied_at_;
}

/// Notes which VMs knew when the store went back that the target leaves. A VM
/// hears it through a relay of either zone, so one VM may have missed it.
void
soak_run::note_departure_known(monotonic_time now)
{
    std::size_t missed = 0;
    for (std::size_t i = 0; i < vms_.size(); ++i)
    {
        const bool may_have_missed = may_have_missed_copy(i, now);
        missed += may_have_missed ? 1 : 0;
        knew_departure_at_[i] = may_have_missed ? monotonic_time{} : now;
    }
    if (missed > 1)
    {
        knew_departure_at_.assign(vms_.size(), monotonic_time{});
    }
}

bool
soak_run::is_in_touch(std::size_t vm, monotonic_time at) const
{
    const interval window{at - stable_window, at};
    std::vector<interval> troubles = vms_[vm]->stops();
    troubles.insert(troubles.end(), cuts_[vm].begin(), cuts_[vm].end());
    return vms_[vm]->started_at() < window.from &&
           covered_time(std::move(troubles), window) == duration::zero();
}

/// Returns false if the state of the VM does not allow the fault.
bool
soak_run::apply_to_vm(const planned_fault& fault)
{
    vm_process& vm = *vms_[fault.vm];
    const bool is_pause =
        fault.kind == fault_kind::pause || fault.kind == fault_kind::freeze;
    const bool allowed =
        is_pause ? vm.is_running() && !vm.is_stopped()
        : fault.kind == fault_kind::kill
            ? vm.is_running()
            : takes_signals(fault.vm) && (fault.kind == fault_kind::hang_up ||
                                             balancer_->in_rotation() > 1);
    if (!allowed)
    {
        return false;
    }
    if (is_pause)
    {
        pause(fault);
        return true;
    }
    if (fault.kind == fault_kind::hang_up)
    {
        vm.reload();
        return true;
    }
    restart_delays_[fault.vm] = fault.length;
    fault.kind == fault_kind::kill ? vm.kill() : vm.terminate();
    return true;
}

void
soak_run::pause(const planned_fault& fault)
{
    vms_[fault.vm]->set_stopped(true);
    after(
        fault.length, [this, vm = fault.vm] { vms_[vm]->set_stopped(false); });
}

void
soak_run::tick()
{
    const monotonic_time now = monotonic_clock::now();
    measure_lag(now);
    check_vms(now);
    judge_until(now - settle_time);
    if (ending_)
    {
        end_run();
    }
    tick_timer_.expires_after(tick_period);
    tick_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                tick();
            }
        });
}

void
soak_run::measure_lag(monotonic_time now)
{
    if (now - last_tick_ > longest_tick)
    {
        lags_.push_back({last_tick_, now});
    }
    last_tick_ = now;
}

void
soak_run::check_vms(monotonic_time now)
{
    for (std::size_t i = 0; i < vms_.size(); ++i)
    {
        const std::string fault = vms_[i]->check();
        if (!fault.empty())
        {
            report_.add_fault(vms_[i]->place.id + " " + fault + "\n" +
                              journal_.around({now, now}));
        }
        if (!ending_ && !vms_[i]->is_running() &&
            now - vms_[i]->exited_at() >= restart_delays_[i])
        {
            vms_[i]->start();
        }
    }
}

/// Stops the callers and then the VMs, or the other way round.
void
soak_run::end_run()
{
    const bool ended = options_.vms_stop_first ? stop_vms() && stop_callers()
                                               : stop_callers() && stop_vms();
    if (ended)
    {
        loop_.stop();
    }
}

/// Returns whether all VMs have exited.
bool
soak_run::stop_vms()
{
    bool running = false;
    for (const auto& vm : vms_)
    {
        running = running || vm->is_running();
        if (vm->is_in_service() &&
            monotonic_clock::now() - vm->started_at() > signal_age)
        {
            vm->terminate();
        }
    }
    return !running;
}

/// Returns whether all callers have stopped.
bool
soak_run::stop_callers()
{
    bool stopped = true;
    for (const auto& c : callers_)
    {
        c->stop();
        stopped = stopped && c->is_stopped();
    }
    return stopped;
}

/// Judges the requests that ended before `limit`, so that targets have seen
/// those that reach them.
void
soak_run::judge_until(monotonic_time limit)
{
    while (!unjudged_.empty() && unjudged_.front().ended_at < limit)
    {
        const attempt& a = unjudged_.front();
        const evidence known = evidence_of(a);
        report_.add(a, known, judge(a, known), vms_[a.vm]->place.id);
        unjudged_.pop_front();
    }
}

evidence
soak_run::evidence_of(const attempt& a) const
{
    const interval span{a.sent_at, a.ended_at};
    std::vector<interval> stalls = vms_[a.vm]->stops();
    stalls.insert(stalls.end(), lags_.begin(), lags_.end());
    const auto late = deployment_.reached_left_target(a.id);
    const bool knew = late && (late->announced ? vms_[a.vm]->started_at() <
                                                     knew_departure_at_[a.vm]
                                               : is_in_touch(a.vm, late->at));
    return {deployment_.runs(a.id), vms_[a.vm]->was_killed_within(span),
        covered_time(std::move(stalls), span), knew,
        deployment_.revoked_at(a.key)};
}

} // namespace bramleymux::soak
