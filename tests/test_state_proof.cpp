#include "config/revocation.hpp"
#include "keys/freshness_message.hpp"
#include "keys/state_proof.hpp"
#include "property.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

constexpr duration bound = 5s;
constexpr duration start = 1h; // boot time

const proof_sources sources{{"r0", "r1"}, {"o0", "o1", "o2"}};

/// A question or a call to the store on its way.
struct call_in_flight
{
    std::size_t asker = 0;
    std::size_t asked = 0; ///< VM; the number of VMs stands for the store
    std::uint64_t process = 0;
    duration sent_at{}; ///< on the asker's clock
    bool answered = false;
    std::string answer; ///< empty = refused
};

struct model_vm
{
    double rate = 1; ///< of its boot clock
    duration offset{};
    std::uint64_t process = 0; ///< changes with each restart
    std::uint64_t version = 0;
    state_proof proof;
};

/// A store and VMs whose calls are delivered late, lost or never answered. A
/// frozen, partitioned or busy VM is one for which no step is taken.
struct model
{
    explicit model(std::uint32_t seed) : random(seed)
    {
        std::uniform_real_distribution<double> rates(0.99, 1.01);
        for (model_vm& vm : vms)
        {
            vm.rate = rates(random);
            vm.offset = 1s * pick(100000);
        }
    }

    std::size_t
    pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }

    duration
    clock(const model_vm& vm) const
    {
        return vm.offset +
               std::chrono::duration_cast<duration>(true_time * vm.rate);
    }

    void
    send(std::size_t asker, std::size_t asked)
    {
        calls.push_back(
            {asker, asked, vms[asker].process, clock(vms[asker]), false, {}});
    }

    /// The VM or the store that was asked reads the question and answers.
    void
    answer(call_in_flight& call)
    {
        call.answered = true;
        freshness_answer out;
        if (call.asked == vms.size())
        {
            out.version = version;
        }
        else
        {
            const model_vm& vm = vms[call.asked];
            if (!is_current(vm.proof, clock(vm), bound))
            {
                return;
            }
            out.version = vm.version;
            out.age = *age_of(vm.proof, clock(vm));
        }
        call.answer = encode_freshness(out);
    }

    void
    receive(const call_in_flight& call)
    {
        model_vm& vm = vms[call.asker];
        const auto reply = decode_freshness(call.answer);
        if (vm.process != call.process || !reply)
        {
            return;
        }
        // The state comes with the answer to a VM with an older one.
        vm.version = std::max(vm.version, reply->version);
        if (call.asked == vms.size())
        {
            record_store_proof(vm.proof, call.sent_at);
        }
        else if (vm.version == reply->version)
        {
            record_peer_proof(vm.proof, call.sent_at, reply->age);
        }
    }

    void
    step()
    {
        const std::size_t i = pick(vms.size());
        switch (pick(10))
        {
        case 0:
            true_time += 1ms * pick(1500);
            break;
        case 1:
            ++version;
            acknowledged_at.push_back(true_time);
            break;
        case 2:
            send(0, vms.size()); // the only VM that reaches the store
            break;
        case 3:
            if (pick(8) == 0)
            {
                ++vms[i].process;
                vms[i].version = 0;
                vms[i].proof = {};
            }
            break;
        case 4:
        case 5:
            send(i, (i + 1 + pick(vms.size() - 1)) % vms.size());
            break;
        default:
            deliver();
        }
    }

    void
    deliver()
    {
        if (calls.empty())
        {
            return;
        }
        const auto call =
            calls.begin() + static_cast<std::ptrdiff_t>(pick(calls.size()));
        if (!call->answered)
        {
            answer(*call);
            return;
        }
        receive(*call);
        calls.erase(call);
    }

    /// Returns whether no VM accepts a key that was revoked longer ago than the
    /// bound.
    bool
    is_safe()
    {
        return std::all_of(vms.begin(), vms.end(),
            [&](const model_vm& vm)
            {
                if (!is_current(vm.proof, clock(vm), bound))
                {
                    return true;
                }
                ++accepted;
                if (vm.version == version)
                {
                    return true;
                }
                ++accepted_old;
                return true_time <= acknowledged_at[vm.version] + bound;
            });
    }

    std::mt19937 random;
    std::array<model_vm, 5> vms;
    duration true_time{};
    std::uint64_t version = 0; ///< in the store; each one revokes a key
    std::vector<duration> acknowledged_at; ///< by version - 1
    std::vector<call_in_flight> calls;
    std::size_t accepted = 0;
    std::size_t accepted_old = 0;
};

} // namespace

// Guards against a VM that accepts a key later than the bound after its
// revocation: after freezes, partitions and restarts, with delayed answers and
// proofs that were passed on by several VMs with clocks of other rates.
TEST_CASE("no VM accepts a key after the revocation bound", "[revocation]")
{
    std::size_t accepted = 0;
    std::size_t accepted_old = 0;
    const auto property = [&](std::uint32_t seed)
    {
        model m(seed);
        for (int i = 0; i < 400; ++i)
        {
            m.step();
            RC_ASSERT(m.is_safe());
        }
        accepted += m.accepted;
        accepted_old += m.accepted_old;
    };
    CHECK(test::holds(31, 400, property));
    // The sequences reach the cases that the property is about.
    CHECK(accepted > 10000);
    CHECK(accepted_old > 1000);
}

// Guards against a delayed or stalled reply, or a freeze, that makes knowledge
// look newer than it is.
TEST_CASE("the age counts from the time of the question", "[revocation]")
{
    state_proof proof;
    CHECK(!is_current(proof, start, bound));
    CHECK(!age_of(proof, start));
    record_store_proof(proof, start);
    CHECK(is_current(proof, start + 4900ms, bound));
    CHECK(!is_current(proof, start + 4901ms, bound));
    // An older call that is answered later changes nothing.
    record_store_proof(proof, start - 1s);
    CHECK(age_of(proof, start) == duration::zero());
    record_peer_proof(proof, start + 3s, 2s);
    CHECK(age_of(proof, start + 3s) == 2s);
    record_peer_proof(proof, start + 4s, 4s);
    CHECK(age_of(proof, start + 4s) == 3s);
    record_peer_proof(proof, start + 4s, -1s);
    CHECK(age_of(proof, start + 4s) == 3s);
}

// Guards against shares with which a VM stops serving earlier than 0.6 of the
// bound after it lost the store: two watches and a question that is answered by
// a relay at the end of its second watch.
TEST_CASE("a proof is young in steady operation", "[revocation]")
{
    const duration relay_age = 2 * proof_watch_wait(bound);
    CHECK(relay_age < question_age(bound));
    const duration follower_age =
        std::max(relay_age, question_age(bound)) + config::question_period;
    CHECK(follower_age + bound * 6 / 10 < longest_proof_age(bound));
}

// Guards against questions to a relay that is cut off itself, and against more
// questions than the VMs are built for.
TEST_CASE("questions turn to other VMs after a failure", "[revocation]")
{
    state_proof proof;
    question_state questions;
    duration now = start;
    const auto ask = [&](std::uint64_t random)
    {
        now += config::question_period;
        return next_question(questions, proof, now, bound, sources, random);
    };
    CHECK(ask(0) == "r0");
    // Not yet due.
    CHECK(!next_question(questions, proof, now + 249ms, bound, sources, 0));
    record_question_end(questions, true);
    CHECK(ask(0) == "r0");
    record_question_end(questions, false);
    CHECK(ask(4) == "o1");
    record_question_end(questions, false);
    CHECK(ask(0) == "r1");
    record_question_end(questions, false);
    CHECK(ask(2) == "o2");
    record_question_end(questions, true);
    CHECK(ask(0) == "r0");

    // A young proof needs no question.
    record_store_proof(proof, now);
    CHECK(!ask(0));
    now += question_age(bound);
    CHECK(ask(0) == "r0");
    CHECK(next_question(questions, proof, now + 1s, bound, {{}, {"o"}}, 7) ==
          "o");
    CHECK(!next_question(questions, proof, now + 2s, bound, {}, 7));
}

// Guards against a process that starts after a restore of the store and accepts
// a key whose revocation the restored copy lacks, and against a fleet that
// starts as a whole and never serves again.
TEST_CASE("a start in a restored store waits for other VMs", "[revocation]")
{
    restart_check check;
    record_store_era(check, 1);
    CHECK(!is_restart_checked(check, 0s, bound, 5));
    record_confirmation(check, "a");
    record_confirmation(check, "a");
    CHECK(!is_restart_checked(check, 0s, bound, 5));
    CHECK(is_restart_checked(check, 0s, bound, 1));
    CHECK(is_restart_checked(check, bound, bound, 5));
    record_confirmation(check, "b");
    CHECK(is_restart_checked(check, 0s, bound, 5));
    // Without a list of the VMs there may be others.
    CHECK(!is_restart_checked(restart_check{}, 0s, bound, 0));
    restart_check before_any_restore;
    record_store_era(before_any_restore, 0);
    record_store_era(before_any_restore, 1);
    CHECK(is_restart_checked(before_any_restore, 0s, bound, 5));
}

// Guards against an age that is rounded down on its way, a state that is lost,
// and a message that takes memory without bound or crashes the process.
TEST_CASE("answers on freshness are bounded and exact", "[revocation]")
{
    const std::string payload = R"({"version":9})";
    const auto decoded =
        decode_freshness(encode_freshness({{2, 70}, 9, 1500us + 1ns, payload}));
    REQUIRE(decoded);
    CHECK(decoded->revision == store_revision{2, 70});
    CHECK(decoded->version == 9);
    CHECK(decoded->age == 1501us);
    CHECK(decoded->payload == payload);
    const std::string large(config::max_freshness_bytes, 'x');
    const std::string without = encode_freshness({{0, 1}, 1, 1s, large});
    CHECK(without.size() < 256);
    CHECK(!decode_freshness(without)->payload);
    CHECK(!decode_freshness(without + large));
    CHECK(!decode_freshness(encode_freshness({0, 1, 1, 2h, {}})));
    CHECK(!decode_freshness(""));
    CHECK(!decode_freshness("\xa1\x66"
                            "age_us\x20"));
    const auto any_bytes = [](const std::string& bytes)
    { static_cast<void>(decode_freshness(bytes)); };
    CHECK(test::holds(32, 300, any_bytes));

    CHECK(version_in_question(freshness_question(12)) == 12);
    CHECK(version_in_question(freshness_path) == 0);
    CHECK(version_in_question("/v1/freshness?version=x") == 0);
}
