#include "target_executor.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

/// Target that blocks each request until it is cancelled or the test calls
/// `release`.
class fake_target : public target_api
{
public:
    sub_reply
    execute(const sub_request& request, const catalog_target& target,
        monotonic_time deadline, const std::string& wire_request_id) override
    {
        std::unique_lock<std::mutex> lock(mutex);
        ++sends;
        const auto now_running = ++running[target.name];
        worst = std::max(worst, now_running);
        wire_ids.insert(wire_request_id);
        last_deadline = deadline;
        order.push_back(request.id);
        changed.notify_all();
        changed.wait(
            lock, [&] { return open || cancelled.count(wire_request_id) > 0; });
        --running[target.name];
        sub_reply reply;
        reply.error = cancelled.count(wire_request_id) > 0
                          ? miss_reason::cancelled
                          : miss_reason::none;
        reply.run = run_state::run;
        reply.instance = "i1";
        return reply;
    }

    void
    cancel(const catalog_target& /*target*/,
        const std::string& wire_request_id) override
    {
        const std::lock_guard<std::mutex> lock(mutex);
        cancelled.insert(wire_request_id);
        changed.notify_all();
    }

    std::optional<target_report>
    status(const catalog_target& /*target*/) override
    {
        return std::nullopt;
    }

    void
    wait_sends(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(mutex);
        changed.wait(lock, [&] { return sends >= count; });
    }

    void
    release()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        open = true;
        changed.notify_all();
    }

    std::mutex mutex;
    std::condition_variable changed;
    bool open = false;
    std::size_t sends = 0;
    std::uint32_t worst = 0;
    std::map<std::string, std::uint32_t> running;
    std::set<std::string> wire_ids;
    std::set<std::string> cancelled;
    std::vector<std::uint64_t> order;
    monotonic_time last_deadline;
};

/// Collects the replies by id. Further replies to the same id are counted in
/// `repeated`.
struct collector
{
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::uint64_t, sub_reply> replies;
    std::size_t repeated = 0;

    sub_reply_handler
    handler()
    {
        return [this](sub_reply reply)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            repeated += replies.count(reply.id);
            replies[reply.id] = std::move(reply);
            changed.notify_all();
        };
    }

    sub_reply
    wait_for(std::uint64_t id)
    {
        std::unique_lock<std::mutex> lock(mutex);
        changed.wait(lock, [&] { return replies.count(id) > 0; });
        return replies[id];
    }

    std::size_t
    size()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return replies.size();
    }
};

constexpr std::uint16_t target_count = 20;

std::shared_ptr<catalog>
make_catalog()
{
    auto c = std::make_shared<catalog>();
    for (std::uint16_t i = 0; i < target_count; ++i)
    {
        catalog_target row;
        row.self = target_handle{i};
        row.name = "t" + std::to_string(i);
        row.slots = row.cold_limit = 2;
        c->targets.push_back(row);
    }
    return c;
}

struct fixture
{
    fake_target target;
    collector replies;
    std::atomic<monotonic_time> lease{monotonic_time::max()};
    std::atomic<std::uint32_t> foreign{0};
    std::unique_ptr<target_executor> executor;

    fixture()
    {
        ownership_gate gate{[this](const std::string&, monotonic_time)
            { return lease.load(); },
            [this](const std::string&, monotonic_time)
            { return foreign.load(); }};
        executor_options options;
        options.vm_id = "vm1";
        options.incarnation = 7;
        executor =
            std::make_unique<target_executor>(target, std::move(gate), options);
        executor->set_catalog(make_catalog());
    }

    ~fixture()
    {
        target.release();
        executor.reset();
    }

    void
    submit(std::uint64_t first, std::uint64_t last, std::uint16_t targets = 1)
    {
        std::vector<sub_request> batch;
        for (auto id = first; id <= last; ++id)
        {
            sub_request request;
            request.id = id;
            request.target =
                target_handle{static_cast<std::uint16_t>(id % targets)};
            request.deadline = monotonic_clock::now() + 1h;
            batch.push_back(std::move(request));
        }
        executor->submit(std::move(batch), replies.handler());
    }
};

} // namespace

// Guards against exceeding a target's limit, lost or duplicated replies, and
// reused wire ids.
TEST_CASE("concurrent submissions stay within the limit", "[target_executor]")
{
    fixture f;
    f.target.release();
    std::vector<std::thread> threads;
    for (std::uint64_t t = 0; t < 4; ++t)
    {
        threads.emplace_back(
            [&f, t]
            {
                for (std::uint64_t i = 0; i < 50; ++i)
                {
                    const auto first = t * 1000 + i * 20;
                    f.submit(first, first + 19, target_count);
                    f.executor->cancel(first + 3);
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    CHECK(f.executor->wait_idle(monotonic_time::max()));
    CHECK(f.replies.size() == 4000);
    CHECK(f.replies.repeated == 0);
    CHECK(f.target.worst <= 2);
    CHECK(f.target.wire_ids.size() == f.target.sends);
    CHECK(f.target.wire_ids.begin()->rfind("vm1-7-", 0) == 0);
    std::uint64_t sends = 0;
    for (const target_stats& entry : f.executor->stats().targets)
    {
        CHECK(entry.worst_running <= 2);
        CHECK(entry.running == 0);
        sends += entry.sends;
    }
    CHECK(sends == f.target.sends);
    CHECK(f.executor->running().empty());
}

// Guards against ignoring requests that a previous owner still has running, and
// against not reporting running requests to the next owner.
TEST_CASE("requests of other VMs take slots", "[target_executor]")
{
    fixture f;
    f.foreign = 1;
    f.submit(1, 3);
    f.target.wait_sends(1);
    REQUIRE(f.executor->running().size() == 1);
    CHECK(f.executor->running()[0].target == "t0");
    CHECK(f.executor->running()[0].count == 1);
    f.foreign = 0;
    f.executor->tick(monotonic_clock::now());
    f.target.wait_sends(2);
    CHECK(f.executor->running()[0].count == 2);
    CHECK(f.executor->stats().targets.size() == target_count);
}

// Guards against a send after the end of the lease, and against a request whose
// deadline is later than the end of the lease.
TEST_CASE("nothing is sent beyond the lease", "[target_executor]")
{
    fixture f;
    const auto end = monotonic_clock::now() + 30min;
    f.lease = end;
    f.submit(1, 3);
    f.target.wait_sends(2);
    CHECK(f.target.last_deadline == end);
    f.lease = monotonic_time::min();
    f.executor->tick(monotonic_clock::now());
    const auto lapsed = f.replies.wait_for(3);
    CHECK(lapsed.error == miss_reason::lease_lapsed);
    CHECK(lapsed.run == run_state::not_run);
    f.submit(4, 4);
    CHECK(f.replies.wait_for(4).error == miss_reason::owner_unknown);
    CHECK(f.target.sends == 2);
}

// Guards against a cancelled request that is sent later, gets no reply, or
// keeps running at the target.
TEST_CASE("cancel works on queued and running requests", "[target_executor]")
{
    fixture f;
    f.submit(1, 3);
    f.target.wait_sends(2);
    f.executor->cancel(3);
    const auto queued = f.replies.wait_for(3);
    CHECK(queued.error == miss_reason::cancelled);
    CHECK(queued.run == run_state::not_run);
    f.executor->cancel(1);
    f.executor->cancel(1);
    CHECK(f.replies.wait_for(1).error == miss_reason::cancelled);
    CHECK(f.replies.wait_for(1).run == run_state::run);
    CHECK(f.target.sends == 2);
    CHECK(f.replies.repeated == 0);
}

// Guards against a planned stop that interrupts running requests or leaves
// queued ones without a reply, and against a wrong not_run.
TEST_CASE("a drain refuses queued requests and keeps running ones",
    "[target_executor]")
{
    fixture f;
    f.submit(1, 5);
    f.target.wait_sends(2);
    f.executor->drain();
    for (std::uint64_t id = 3; id <= 5; ++id)
    {
        const auto reply = f.replies.wait_for(id);
        CHECK(reply.error == miss_reason::draining);
        CHECK(reply.run == run_state::not_run);
    }
    f.submit(6, 6);
    CHECK(f.replies.wait_for(6).error == miss_reason::draining);
    CHECK_FALSE(f.executor->wait_idle(monotonic_clock::now()));
    f.target.release();
    CHECK(f.executor->wait_idle(monotonic_time::max()));
    CHECK(f.replies.wait_for(1).error == miss_reason::none);
    CHECK(f.replies.wait_for(2).error == miss_reason::none);
    CHECK(f.target.sends == 2);
}

// Guards against requests that stay queued for a target in a zone that is out
// of service, and against a duplicate id that takes the first request's reply.
TEST_CASE("a zone out of service refuses queued requests", "[target_executor]")
{
    fixture f;
    f.submit(1, 3);
    f.target.wait_sends(2);
    f.submit(2, 2);
    CHECK(f.replies.wait_for(2).error == miss_reason::failed);
    CHECK(f.replies.wait_for(2).run == run_state::not_run);
    auto out = make_catalog();
    out->targets[0].zone_out = true;
    f.executor->set_catalog(out);
    CHECK(f.replies.wait_for(3).error == miss_reason::zone_out);
    f.executor->set_catalog(std::make_shared<catalog>());
    f.submit(9, 9);
    CHECK(f.replies.wait_for(9).error == miss_reason::no_replica);
}

// Guards against ignoring a poll or a peer's report, and against applying a
// peer's report while this VM holds the lease.
TEST_CASE("reports set the limit and the proven limit", "[target_executor]")
{
    fixture f;
    auto c = make_catalog();
    c->targets[0].slots = 4;
    f.executor->set_catalog(c);
    target_report report;
    report.target = "t0";
    report.instance = "i1";
    report.reachable = true;
    report.proven_limit = 4;
    f.executor->apply_owner_report(target_handle{0}, report);
    CHECK(f.executor->stats().targets.size() == target_count);
    f.executor->on_status(target_handle{0}, report);
    CHECK(report.proven_limit == 0);
    f.lease = monotonic_time::min();
    report.proven_limit = 4;
    f.executor->apply_owner_report(target_handle{0}, report);
    f.lease = monotonic_time::max();
    report.proven_limit = 0;
    f.executor->on_status(target_handle{0}, report);
    CHECK(report.proven_limit == 4);
    report.instance = "i2";
    f.executor->on_status(target_handle{0}, report);
    CHECK(report.proven_limit == 0);
    CHECK(f.executor->is_probe_due(target_handle{0}, monotonic_clock::now()));
}
