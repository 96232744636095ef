#include "config.hpp"
#include "config/usage.hpp"
#include "property.hpp"
#include "usage/usage_messages.hpp"
#include "usage/usage_report.hpp"
#include "usage_api.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

constexpr usage_limits limits{5s, 0.05, 10s};

usage_message
message_of(const std::string& vm, std::uint64_t sequence,
    std::vector<reported_window> windows)
{
    return {vm, 1, sequence, 100s, 0, std::move(windows)};
}

double
to_microseconds(duration d)
{
    return std::chrono::duration<double, std::micro>(d).count();
}

source_usage
source_of(const std::string& vm, std::uint64_t process, std::uint64_t sequence,
    bool complete, workspace_counts counts)
{
    return {vm, process, sequence, complete, std::move(counts)};
}

} // namespace

// Guards against repeated, reordered or lost messages that change a count.
TEST_CASE("a collector keeps the newest message of a process", "[usage]")
{
    usage_collector c;
    CHECK(collect(c, message_of("a", 2, {{7, false, true, {{"w", 5}}}}), 1s) ==
          collect_result::accepted);
    CHECK(collect(c, message_of("a", 1, {{7, false, true, {{"w", 9}}}}), 1s) ==
          collect_result::outdated);
    CHECK(collect(c, message_of("a", 3, {{8, false, true, {}}}), 1s) ==
          collect_result::accepted);
    auto known = usage_in(c, 7);
    REQUIRE(known.size() == 1);
    CHECK(known[0].counts.at("w") == 5);
    CHECK(!known[0].complete);
    collect(c, message_of("a", 4, {{7, true, true, {{"w", 6}}}}), 1s);
    known = usage_in(c, 7);
    CHECK(known[0].counts.at("w") == 6);
    CHECK(known[0].complete);
    CHECK(c.entries == 1);
    // A window that was not listed is not empty: the collector may be new.
    CHECK(!usage_in(c, 9)[0].complete);
    CHECK(usage_in(c, -1)[0].complete);
    collect(c, message_of("b", 1, {}), 1s + config::usage_retention + 1ns);
    CHECK(c.entries == 0);
    CHECK(usage_in(c, 7).size() == 1);
}

// Guards against unbounded memory of a collector.
TEST_CASE("a collector is bounded", "[usage]")
{
    usage_collector c;
    workspace_counts many;
    for (std::size_t i = 0; i < config::max_usage_workspaces; ++i)
    {
        many["w" + std::to_string(i)] = 1;
    }
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < 100; ++i)
    {
        const auto result = collect(c,
            message_of("v" + std::to_string(i), 1, {{7, false, true, many}}),
            1s);
        accepted += result == collect_result::accepted ? 1 : 0;
    }
    CHECK(c.entries <= config::max_usage_entries);
    CHECK(accepted == config::max_usage_entries / many.size());
    usage_message windows = message_of("v0", 2, {});
    for (window_id i = 0; i < 40; ++i)
    {
        windows.windows.push_back({i, true, true, {}});
    }
    collect(c, std::move(windows), 1s);
    CHECK(
        c.sources.begin()->second.windows.size() <= config::max_usage_windows);
}

// Guards against counts that change on the way, and against input that crashes
// a VM or takes its memory.
TEST_CASE("usage messages survive and malformed ones are rejected", "[usage]")
{
    usage_message message = message_of(
        "a", 2, {{7, true, false, {{"w", 5}}}, {8, false, true, {}}});
    const std::string bytes = encode_usage_message(message);
    const auto read = decode_usage_message(bytes);
    REQUIRE(read);
    CHECK(read->vm == "a");
    CHECK(read->time == 100s);
    REQUIRE(read->windows.size() == 2);
    CHECK(read->windows[0].closed);
    CHECK(!read->windows[0].exact);
    CHECK(read->windows[0].counts.at("w") == 5);
    const std::string sources =
        encode_sources({source_of("a", 3, 4, true, {{"w", 1}})});
    const auto back = decode_sources(sources);
    REQUIRE(back);
    CHECK(back->at(0).process == 3);
    CHECK(back->at(0).complete);
    CHECK(back->at(0).counts.at("w") == 1);
    const auto ack = decode_usage_ack(encode_usage_ack({9, {5s, 6}}));
    REQUIRE(ack);
    CHECK(ack->process == 9);
    CHECK(ack->median.time == 5s);
    CHECK(parse_window_path(window_path(-3)) == -3);
    CHECK(!parse_window_path(window_path(3) + "x"));
    CHECK(!parse_window_path(std::string(usage_path)));

    CHECK(!decode_usage_message(std::string(500'000, '\x81')));
    CHECK(!decode_sources(std::string(500'000, '\x81')));
    const auto property = [&](const std::string& noise, std::uint16_t at)
    {
        const std::size_t cut = at % bytes.size();
        RC_ASSERT(!decode_usage_message(bytes.substr(0, cut)));
        std::string changed = bytes;
        changed.replace(cut, noise.size(), noise);
        static_cast<void>(decode_usage_message(changed));
        static_cast<void>(decode_sources(noise));
        static_cast<void>(decode_usage_ack(noise));
    };
    CHECK(test::holds(1, 500, property));
}

// Guards against a message that is longer than the peer port accepts.
TEST_CASE("a long message loses its oldest windows", "[usage]")
{
    usage_message message = message_of("a", 1, {});
    const std::string filler(200, 'x');
    for (window_id i = 0; i < 4; ++i)
    {
        reported_window window{i, true, true, {}};
        for (int w = 0; w < 2000; ++w)
        {
            window.counts[filler + std::to_string(w)] = 1U << 30U;
        }
        message.windows.push_back(std::move(window));
    }
    limit_bytes(message);
    REQUIRE(message.windows.size() == 1);
    CHECK(message.windows[0].id == 3);
    const std::string bytes = encode_usage_message(message);
    CHECK(bytes.size() <= config::max_usage_message_bytes);
    CHECK(decode_usage_message(bytes));
}

// Guards against requests that are counted twice or lost because collectors
// disagree or a VM was replaced.
TEST_CASE("collectors that disagree are merged by source", "[usage]")
{
    window_evidence e;
    merge_sources(e, {source_of("a", 1, 5, false, {{"w", 7}}),
                         source_of("b", 1, 3, true, {{"w", 2}})});
    merge_sources(e, {source_of("a", 1, 4, false, {{"w", 6}}),
                         source_of("b", 1, 9, false, {{"w", 1}}),
                         source_of("a", 2, 1, true, {{"w", 10}, {"x", 1}})});
    const window_summary s = summarize(e, {"a", "b"}, limits);
    CHECK(s.counts == workspace_counts{{"w", 19}, {"x", 1}});
    CHECK(s.missing.empty());
    CHECK(s.known);
}

// Guards against a report that lacks more than the tolerance, and against one
// that is withheld for a VM that was killed.
TEST_CASE("missing VMs are weighed against the tolerance", "[usage]")
{
    const duration end = end_of(20, limits.window);
    window_evidence e;
    std::vector<std::string> live{"gone"};
    for (int i = 0; i < 7; ++i)
    {
        live.push_back("v" + std::to_string(i));
        merge_sources(e, {source_of(live.back(), 1, 2, true, {{"w", 100}})});
    }
    const auto verdict = [&](duration after_end)
    {
        return judge_window(
            20, summarize(e, live, limits), limits, end + after_end);
    };
    CHECK(summarize(e, live, limits).missing_share == Approx(0.125));
    CHECK(verdict(2s) == report_verdict::wait);
    CHECK(verdict(7500ms) == report_verdict::wait);
    CHECK(verdict(9s) == report_verdict::skip);
    e.stopped.insert("gone");
    CHECK(summarize(e, live, limits).missing_share < 0.05);
    CHECK(verdict(7s) == report_verdict::wait);
    CHECK(verdict(7500ms) == report_verdict::report);
    merge_sources(e, {source_of("gone", 2, 0, true, {})});
    CHECK(verdict(1s) == report_verdict::report);
    CHECK(verdict(10s) == report_verdict::skip);
    // A VM that neither sends nor answers runs nothing.
    window_evidence silent = e;
    silent.stopped.clear();
    silent.sources.clear();
    for (const std::string& vm : live)
    {
        merge_sources(
            silent, {source_of(vm, 1, 2, vm != "gone", {{"w", 100}})});
    }
    for (std::uint32_t i = 1; i <= config::usage_silent_after; ++i)
    {
        CHECK(silent.stopped.empty());
        record_no_answer(silent, "gone", false);
    }
    CHECK(silent.stopped.count("gone") == 1);
    CHECK(summarize(silent, live, limits).missing_share < 0.05);
    merge_sources(silent, {source_of("gone", 1, 3, false, {{"w", 101}})});
    CHECK(summarize(silent, live, limits).missing_share > 0.05);
    // One that is registered no more runs nothing either.
    CHECK(summarize(silent, {live.begin() + 1, live.end()}, limits)
              .missing_share < 0.05);
    // Processes that began after the window say nothing about it.
    window_evidence none;
    merge_sources(none, {source_of("v0", 1, 0, true, {})});
    CHECK(!summarize(none, {"v0"}, limits).known);
}

// Guards against a body that the API takes for another report.
TEST_CASE("a report has the platform's form", "[usage]")
{
    const auto& wire = platform::usage_wire();
    const std::string body =
        wire.write_report(353445120, {{"golo131", 412}, {"kami770", 7}});
    CHECK(body ==
          R"({"windowId":353445120,"counts":{"golo131":412,"kami770":7}})");
    CHECK(wire.write_report(1, {}) == R"({"windowId":1,"counts":{}})");
    CHECK(wire.make_call(body).path == "/usage");
    CHECK(wire.make_call(body).method == "POST");
    CHECK(wire.make_call(body).body == body);
}

// Not a check: prints the figures of docs/CAPACITY.md.
TEST_CASE("sizes of usage messages", "[.measure]")
{
    usage_message message = message_of("front-rennes-a-1", 1, {});
    message.time = 1'796'605'476s;
    for (window_id k = 0; k < 2; ++k)
    {
        reported_window window{353'445'120 + k, k == 0, true, {}};
        for (int w = 0; w < 50; ++w)
        {
            window.counts["kami" + std::to_string(100 + w)] = 412;
        }
        message.windows.push_back(std::move(window));
    }
    const auto started = monotonic_clock::now();
    constexpr int rounds = 2000;
    usage_collector c;
    std::size_t bytes = 0;
    for (int i = 0; i < rounds; ++i)
    {
        ++message.sequence;
        const std::string encoded = encode_usage_message(message);
        bytes = encoded.size();
        collect(c, *decode_usage_message(encoded), 1s);
    }
    const auto took = monotonic_clock::now() - started;
    std::vector<source_usage> sources;
    for (int vm = 0; vm < 52; ++vm)
    {
        auto one = usage_in(c, 353'445'120);
        sources.insert(sources.end(), one.begin(), one.end());
    }
    std::cout << "message of 2 windows with 50 workspaces: " << bytes
              << " bytes, " << to_microseconds(took) / rounds
              << " us to encode, decode and collect; reply with 52 processes: "
              << encode_sources(sources).size() << " bytes\n";
}
