#include "duties/duty_candidates.hpp"
#include "duty_model.hpp"
#include "property.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using namespace bramleymux::test;

namespace
{

/// Longest time in which a killed holder is replaced: the rest of its lease, a
/// whole lease unchanged, the reads.
constexpr duration takeover = 8s;

/// Three VMs of which one holds the duty.
duty_model
elected(std::size_t count = 3)
{
    duty_model m(count);
    m.run(5s);
    REQUIRE(m.actor(m.now - 1s) != "");
    return m;
}

/// Runs until another VM acts, and returns how long that took.
duration
time_to_replace(duty_model& m, const std::string& former)
{
    const duration begin = m.now;
    while (m.now - begin < takeover &&
           (m.actor(begin).empty() || m.actor(begin) == former))
    {
        m.run(model_step);
    }
    return m.now - begin;
}

} // namespace

// Guards against two holders at the start, and against a wait for the first
// one.
TEST_CASE("one of several VMs acquires a new duty at once", "[duty]")
{
    duty_model m(8);
    m.run(200ms);
    const std::string holder = m.actor(0s);
    REQUIRE(holder != "");
    m.run(20s);
    CHECK(m.actor(m.now - 1s) == holder);
    CHECK(m.acts.back().token == m.acts.front().token);
    CHECK(broken_rule(m.acts) == "");
}

// Guards against a gap after a planned stop, and against the holder acting on
// after its release.
TEST_CASE("a planned stop hands the duty over at the next read", "[duty]")
{
    duty_model m = elected();
    const model_act last = m.acts.back();
    m.vm_of(last.vm).stopping = true;
    CHECK(time_to_replace(m, last.vm) <= 2s);
    CHECK(m.acts.back().token > last.token);
    m.run(10s);
    CHECK(m.actor(m.now - 1s) != last.vm);
    CHECK(broken_rule(m.acts) == "");
}

// Guards against a duty that nobody takes over, or takes over too early.
TEST_CASE("a holder that is killed is replaced by another VM", "[duty]")
{
    duty_model m = elected();
    const model_act last = m.acts.back();
    m.vm_of(last.vm).alive = false;
    CHECK(time_to_replace(m, last.vm) < takeover);
    CHECK(m.acts.back().at - last.at >= model_lease / 2);
    CHECK(m.acts.back().token > last.token);
    CHECK(broken_rule(m.acts) == "");
}

// Guards against a call with what was known before the freeze.
TEST_CASE("a holder that was frozen past its lease does not act", "[duty]")
{
    duty_model m = elected();
    const std::string former = m.acts.back().vm;
    m.vm_of(former).frozen_until = m.now + 10s;
    CHECK(time_to_replace(m, former) < takeover);
    const std::size_t acts = m.acts.size();
    m.run(15s);
    CHECK(std::none_of(m.acts.begin() + static_cast<std::ptrdiff_t>(acts),
        m.acts.end(), [&](const model_act& a) { return a.vm == former; }));
    CHECK(broken_rule(m.acts) == "");
}

// Guards against a call right after a short freeze, which the lease covers, but
// of which the holder cannot know how long ago its reply was sent.
TEST_CASE("a pause of the process needs a new proof of the lease", "[duty]")
{
    duty_model m = elected();
    model_vm& vm = m.vm_of(m.acts.back().vm);
    const duration at = m.local(vm);
    REQUIRE(token_for(vm.lease, at, 0s));
    record_pause(vm.lease, at);
    CHECK_FALSE(token_for(vm.lease, at, 0s));
    CHECK(next_action(vm.lease, at, 0).kind == duty_action_kind::write);
    m.run(200ms);
    CHECK(token_for(vm.lease, m.local(vm), 0s));
}

// Guards against a holder that acts on without the store.
TEST_CASE("a holder without a path to the store stops in time", "[duty]")
{
    duty_model m = elected();
    const std::string former = m.acts.back().vm;
    m.vm_of(former).cut = true;
    m.run(3s);
    CHECK(m.actor(m.now - 200ms) != former);
    CHECK(time_to_replace(m, former) < takeover);
    m.vm_of(former).cut = false;
    m.run(10s);
    CHECK(m.actor(m.now - 1s) != former);
    CHECK(broken_rule(m.acts) == "");
}

// Guards against a duty that stays with the name of a VM that is gone.
TEST_CASE("a replaced VM under another name can take over", "[duty]")
{
    duty_model m = elected(1);
    const model_act last = m.acts.back();
    m.vms[0].name = "vm-new";
    m.start(0);
    m.run(takeover);
    CHECK(m.actor(m.now - 1s) == "vm-new");
    CHECK(m.acts.back().token > last.token);
    CHECK(broken_rule(m.acts) == "");
}

// Guards against the order A, B, A within a lease when A restarts fast and B
// releases at once.
TEST_CASE("a former holder waits for a lease, also after a restart", "[duty]")
{
    duty_model m = elected(2);
    const std::string first = m.acts.back().vm;
    const auto i = static_cast<std::size_t>(&m.vm_of(first) - m.vms.data());
    m.vms[i].stopping = true;
    REQUIRE(time_to_replace(m, first) < takeover);
    m.start(i);
    m.vm_of(m.acts.back().vm).stopping = true;
    m.run(2s);
    CHECK(m.acts.back().vm != first);
    m.run(5s);
    CHECK(m.acts.back().vm == first);
    CHECK(broken_rule(m.acts) == "");
}

// Guards against a lease that is lost when the store is merely slow.
TEST_CASE("a slow store does not change the holder", "[duty]")
{
    duty_model m = elected();
    const model_act last = m.acts.back();
    m.faults.call_time = 600ms;
    m.run(20s);
    CHECK(m.acts.back().token == last.token);
    CHECK(m.actor(m.now - 1s) == last.vm);
}

// Guards against taking a lost reply for a failed write, and a late reply for a
// renewal that began when it arrived.
TEST_CASE("lost replies are resolved by a read", "[duty]")
{
    duty_model m = elected();
    const model_act last = m.acts.back();
    m.faults.lost_replies = 0.3;
    m.run(30s);
    CHECK(m.acts.size() > 500);
    CHECK(broken_rule(m.acts) == "");
    m.faults.lost_replies = 1;
    m.run(4s);
    CHECK(m.actor(m.now - 500ms) == "");
    CHECK(last.token == fencing_token(0, 1));
}

// Guards against a proof that counts from the reply or from the execution of a
// write instead of its send.
TEST_CASE("a lease is valid from the send of its write", "[duty]")
{
    duty_lease lease = make_duty_lease("a", 1, model_lease, 1h);
    duty_action claim{duty_action_kind::write, 0, {}};
    claim.record = {0, "a", 1, 1, 1, {}, false, {}};
    record_sent(lease, 1h, claim);
    claim.record.revision = 5;
    record_write_reply(
        lease, 1h + 600ms, {duty_reply_kind::success, 0, claim.record});
    const duration end = 1h + model_lease - model_lease / 10;
    CHECK(token_for(lease, end - 500ms, 500ms) == fencing_token(0, 1));
    CHECK_FALSE(token_for(lease, end - 499ms, 500ms));
}

// Guards against the use of a claim that the store executed seconds later.
TEST_CASE("a claim that is executed late proves no lease", "[duty]")
{
    duty_model m(2);
    m.faults.late_writes = 1;
    m.run(10s);
    CHECK(m.acts.empty());
    m.faults.late_writes = 0;
    m.run(10s);
    CHECK_FALSE(m.acts.empty());
    CHECK(broken_rule(m.acts) == "");
}

// Guards against a stale read that shows an old revision unchanged for long.
TEST_CASE("stale reads do not take the lease from its holder", "[duty]")
{
    duty_model m = elected();
    const model_act last = m.acts.back();
    m.faults.stale_reads_by = 4s;
    m.run(30s);
    CHECK(m.acts.back().token == last.token);
    CHECK(m.actor(m.now - 1s) == last.vm);
}

// Guards against a token that falls, and against two holders, when the store
// comes back without the current holder's lease.
TEST_CASE("a restored store gives the duty out after a lease", "[duty]")
{
    duty_model m = elected();
    const model_act last = m.acts.back();
    m.vm_of(last.vm).alive = false;
    REQUIRE(time_to_replace(m, last.vm) < takeover);
    const model_act second = m.acts.back();
    const duration restored_at = m.now;
    m.restore(3s);
    m.run(takeover);
    const auto next = std::find_if(m.acts.begin(), m.acts.end(),
        [](const model_act& a) { return a.token >= fencing_token(1, 0); });
    REQUIRE(next != m.acts.end());
    CHECK(next->at - restored_at >= model_lease);
    CHECK(next->token > second.token);
    CHECK(broken_rule(m.acts) == "");
}

// Guards against a reply of the old era that arrives after the new one is
// known.
TEST_CASE("replies of an earlier era change nothing", "[duty]")
{
    duty_lease lease = make_duty_lease("a", 1, model_lease, 1h);
    record_sent(lease, 1h, {duty_action_kind::write, 0, {}});
    REQUIRE(record_era(lease, 1h, 2));
    duty_record own{7, "a", 1, 0, 1, {}, false, {}};
    record_write_reply(lease, 1h, {duty_reply_kind::success, 0, own});
    CHECK_FALSE(lease.holding);
    // The call was for the object of the old era, also if the store replied in
    // the new one.
    record_sent(lease, 1h, {duty_action_kind::write, 0, {}});
    record_write_reply(lease, 1h, {duty_reply_kind::success, 2, own});
    CHECK_FALSE(lease.holding);
}

// Guards against the loss of a message that a former holder may have sent.
TEST_CASE("pending messages pass to the next holder", "[duty]")
{
    duty_model m = elected();
    const std::string former = m.acts.back().vm;
    duty_lease& lease = m.vm_of(former).lease;
    set_pending(lease, {{"w7", "{}"}});
    CHECK_FALSE(is_pending_written(lease));
    m.run(100ms);
    REQUIRE(is_pending_written(lease));
    m.run(2s);
    m.vm_of(former).alive = false;
    REQUIRE(time_to_replace(m, former) < takeover);
    const auto& known = m.vm_of(m.acts.back().vm).lease.known;
    REQUIRE(known->pending.size() == 1);
    CHECK(known->pending[0] == duty_message{"w7", "{}"});
}

// Guards against VMs that disagree on the candidates, and against a VM that is
// not registered.
TEST_CASE("eight registered VMs are candidates of a duty", "[duty]")
{
    std::vector<registered_vm> vms;
    for (int i = 0; i < 20; ++i)
    {
        vms.push_back({"vm-" + std::to_string(i), "z", "127.0.0.1:1"});
    }
    std::vector<std::size_t> ranks;
    for (const registered_vm& vm : vms)
    {
        if (const auto rank = find_candidate_rank(vms, "usage", vm.id))
        {
            ranks.push_back(*rank);
        }
    }
    std::sort(ranks.begin(), ranks.end());
    CHECK(ranks == std::vector<std::size_t>{0, 1, 2, 3, 4, 5, 6, 7});
    CHECK_FALSE(find_candidate_rank(vms, "usage", "vm-20"));
}

// Guards against any order of freezes, losses, kills, cuts, late writes and
// restores in which two VMs act at once, a token falls or has two owners, or a
// former holder acts again within a lease, or after which no VM acts.
TEST_CASE("no sequence of faults breaks the rules of a duty", "[duty]")
{
    std::size_t acts = 0;
    std::size_t changes = 0;
    const auto property = [&]
    {
        constexpr int any_size = 100;
        const auto seed =
            *rc::gen::resize(any_size, rc::gen::arbitrary<std::uint64_t>());
        duty_model m(4, seed);
        for (int i = 0; i < 25; ++i)
        {
            const auto which = static_cast<std::size_t>(m.chance() * 4);
            model_vm& vm = m.chance() < 0.6 && !m.acts.empty()
                               ? m.vm_of(m.acts.back().vm)
                               : m.vms[which];
            const auto index = static_cast<std::size_t>(&vm - m.vms.data());
            switch (static_cast<int>(m.chance() * 9))
            {
            case 0:
                vm.frozen_until =
                    m.now + 100ms * static_cast<int>(m.chance() * 60);
                break;
            case 1:
                vm.cut = !vm.cut;
                break;
            case 2:
                m.start(index);
                break;
            case 3:
                vm.stopping = true;
                break;
            case 4:
                m.restore(100ms * static_cast<int>(m.chance() * 50));
                break;
            case 5:
                m.faults.lost_replies = m.chance() < 0.5 ? 0 : 0.4;
                m.faults.lost_requests = m.chance() < 0.5 ? 0 : 0.2;
                break;
            case 6:
                m.faults.late_writes = m.chance() < 0.5 ? 0 : 0.3;
                break;
            case 7:
                m.faults.stale_reads_by = m.chance() < 0.5 ? 0s : 3s;
                break;
            default:
                m.faults.call_time = m.chance() < 0.5 ? 10ms : 400ms;
                break;
            }
            m.run(100ms * static_cast<int>(m.chance() * 40));
            if (vm.stopping && m.chance() < 0.7)
            {
                m.start(index);
            }
        }
        acts += m.acts.size();
        for (std::size_t i = 1; i < m.acts.size(); ++i)
        {
            changes += m.acts[i].vm != m.acts[i - 1].vm ? 1 : 0;
        }
        RC_ASSERT(broken_rule(m.acts) == std::string());
        m.faults = {};
        for (std::size_t i = 0; i < m.vms.size(); ++i)
        {
            m.vms[i].cut = false;
            m.vms[i].frozen_until = m.now;
            if (m.vms[i].stopping)
            {
                m.start(i);
            }
        }
        m.run(20s);
        RC_ASSERT(m.actor(m.now - 1s) != std::string());
        RC_ASSERT(broken_rule(m.acts) == std::string());
    };
    CHECK(holds(20261207, 300, property));
    CHECK(acts > 10000);
    CHECK(changes > 100);
}
