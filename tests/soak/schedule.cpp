#include "schedule.hpp"

#include <algorithm>
#include <random>

namespace bramleymux::soak
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

class picker
{
public:
    explicit picker(std::uint64_t seed) : random_(seed) {}

    std::uint64_t
    between(std::uint64_t low, std::uint64_t high)
    {
        return std::uniform_int_distribution<std::uint64_t>(low, high)(random_);
    }

    std::size_t
    weighted(const std::vector<double>& weights)
    {
        return std::discrete_distribution<std::size_t>(
            weights.begin(), weights.end())(random_);
    }

private:
    std::mt19937_64 random_;
};

/// Returns the time to the next fault: milliseconds, tens of them or longer.
duration
next_gap(picker& pick)
{
    switch (pick.weighted({35, 30, 35}))
    {
    case 0:
        return microseconds(pick.between(0, 5000));
    case 1:
        return milliseconds(pick.between(5, 100));
    default:
        return milliseconds(pick.between(100, 1500));
    }
}

duration
pick_pause(picker& pick)
{
    return milliseconds(pick.between(50, 600));
}

state_choice
pick_state(picker& pick)
{
    constexpr std::uint64_t timeouts_ms[] = {30, 300, 2000};
    state_choice out;
    out.idle_timeout_ms = pick.between(300, 3000);
    out.route_timeout_ms = timeouts_ms[pick.weighted({1, 2, 4})];
    out.routes = pick.between(0, 15);
    return out;
}

/// Returns pauses of a VM while it stops. Callers still open connections in
/// that time, so that accepted connections, requests and the maintenance timer
/// of the VM become ready together.
std::vector<planned_fault>
pauses_in_stop(picker& pick, const planned_fault& stop)
{
    constexpr std::uint64_t most_pauses = 3;
    constexpr std::uint64_t longest_stop_ms = 3500;
    std::vector<planned_fault> out(pick.between(0, most_pauses), stop);
    for (planned_fault& f : out)
    {
        f.kind = fault_kind::pause;
        f.at += milliseconds(pick.between(0, longest_stop_ms));
        f.length = pick_pause(pick);
    }
    return out;
}

/// Returns the faults after which VMs might act on what they knew before, and
/// odd entries of the store. They come from a generator of their own, so that
/// the other faults of a seed stay as they are.
std::vector<planned_fault>
knowledge_faults(std::uint64_t seed, duration length, std::size_t vms)
{
    constexpr std::uint64_t stream = 0x6b6e6f77;
    picker pick(seed ^ stream);
    std::vector<planned_fault> out;
    const auto gap = [&] { return milliseconds(pick.between(200, 4000)); };
    for (duration at = gap(); at < length; at += gap())
    {
        constexpr fault_kind kinds[] = {fault_kind::freeze,
            fault_kind::odd_entry, fault_kind::leave, fault_kind::cut_store};
        planned_fault f;
        f.at = at;
        f.kind = kinds[pick.weighted({2, 3, 2, 3})];
        f.vm = pick.between(0, vms - 1);
        f.length = f.kind == fault_kind::freeze
                       ? milliseconds(pick.between(1200, 3500))
                   : f.kind == fault_kind::leave
                       ? milliseconds(pick.between(6000, 9000))
                       : milliseconds(pick.between(500, 6000));
        f.choice = pick.between(0, 1000);
        out.push_back(f);
    }
    return out;
}

/// Returns the restores of the store, also from a generator of their own. The
/// copies are so old that the VMs know what was written since.
std::vector<planned_fault>
restores(std::uint64_t seed, duration length)
{
    constexpr std::uint64_t stream = 0x72657374;
    picker pick(seed ^ stream);
    std::vector<planned_fault> out;
    const auto gap = [&] { return milliseconds(pick.between(5000, 16000)); };
    for (duration at = gap(); at < length; at += gap())
    {
        planned_fault f;
        f.at = at;
        f.kind = fault_kind::restore;
        f.length = milliseconds(pick.between(2500, 4000));
        out.push_back(f);
    }
    return out;
}

} // namespace

std::vector<planned_fault>
make_schedule(std::uint64_t seed, duration length, std::size_t vms)
{
    picker pick(seed);
    std::vector<planned_fault> out;
    for (duration at = next_gap(pick); at < length; at += next_gap(pick))
    {
        planned_fault f;
        f.at = at;
        f.kind = static_cast<fault_kind>(pick.weighted({40, 15, 35, 8, 1}));
        f.vm = pick.between(0, vms - 1);
        f.length = pick_pause(pick);
        f.state = pick_state(pick);
        out.push_back(f);
        if (f.kind == fault_kind::terminate)
        {
            const auto more = pauses_in_stop(pick, f);
            out.insert(out.end(), more.begin(), more.end());
        }
    }
    for (const auto& more :
        {knowledge_faults(seed, length, vms), restores(seed, length)})
    {
        out.insert(out.end(), more.begin(), more.end());
    }
    std::stable_sort(out.begin(), out.end(),
        [](const planned_fault& a, const planned_fault& b)
        { return a.at < b.at; });
    return out;
}

void
keep_restores_only(std::vector<planned_fault>& schedule)
{
    const auto is_kept = [](const planned_fault& f)
    {
        return f.kind == fault_kind::restore ||
               f.kind == fault_kind::new_state ||
               f.kind == fault_kind::hang_up || f.kind == fault_kind::pause;
    };
    schedule.erase(std::remove_if(schedule.begin(), schedule.end(),
                       [&](const planned_fault& f) { return !is_kept(f); }),
        schedule.end());
}

std::string
describe(const state_choice& state)
{
    return "idle timeout " + std::to_string(state.idle_timeout_ms) +
           " ms, route timeout " + std::to_string(state.route_timeout_ms) +
           " ms, routes " + std::to_string(state.routes);
}

} // namespace bramleymux::soak
