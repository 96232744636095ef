#include "entry_settings.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using namespace std::chrono_literals;

namespace
{

const std::string good = "[vm]\nid = vm-1\nzone = z\n"
                         "[listen]\ncaller = 127.0.0.1:1\n"
                         "readiness = 127.0.0.1:2\npeer = 127.0.0.1:3\n"
                         "[store]\naddress = 127.0.0.1:4\n";

} // namespace

// Guards against settings that are ignored or read in the wrong unit.
TEST_CASE("entry settings are read with their units", "[entry]")
{
    findings found;
    const entry_settings values = parse_entry_settings(
        good + "[extra_load]\nratio = 0.3\nslack = 56\nwindow_s = 5\n"
               "[target]\nleave_ms = 1500\n"
               "[rollout]\nshare = 0.2\nslack = 30\n"
               "[stop]\ngrace_s = 8\n",
        "file", found);
    CHECK(found.empty());
    CHECK(values.extra_load.ratio == 0.3);
    CHECK(values.extra_load.slack == 56);
    CHECK(values.extra_load.window == 5s);
    CHECK(values.leave_bound == 1500ms);
    CHECK(values.rollout.share == 0.2);
    CHECK(values.rollout.slack == 30);
    CHECK(values.stop.exit_after == 7500ms);
    CHECK(values.stop.close_idle_after == 2500ms);
}

// Guards against a start with invalid settings, and against a parser that stops
// at the first finding.
TEST_CASE("all findings of entry settings are reported", "[entry]")
{
    findings found;
    parse_entry_settings("[vm]\nid = vm-1\n[listen]\ncaller = nowhere\n"
                         "[extra_load]\nratio = much\nwindow_s = -1\n",
        "file", found);
    std::vector<std::string> places;
    for (const finding& f : found)
    {
        places.push_back(f.place);
    }
    CHECK(places == std::vector<std::string>{"file/vm/zone",
                        "file/listen/caller", "file/listen/readiness",
                        "file/listen/peer", "file/store/address",
                        "file/extra_load/ratio", "file/extra_load/window_s"});
    found.clear();
    load_entry_settings("/nonexistent/settings.ini", found);
    CHECK(found.size() == 1);
}

// Guards against limits that are not derived from the machine, and against
// other limits for a deployment that sets none.
TEST_CASE("limits of memory are derived or set", "[entry][memory]")
{
    findings found;
    const auto read = [&](const std::string& section)
    {
        return parse_entry_settings(
            good + "[memory]\n" + section, "file", found)
            .memory;
    };
    const std::size_t mib = 1U << 20U;
    CHECK(read("").caller_bytes == 0);
    CHECK(read("limit_mb = 0\nmax_descriptors =\n").max_connections == 0);
    const memory_limits derived =
        read("limit_mb = 160\nmax_descriptors = 1024\n");
    CHECK(derived.caller_bytes == 40 * mib);
    CHECK(derived.max_connections == 768);
    const memory_limits set = read(
        "limit_mb = 160\ncallers_mb = 20\nmax_descriptors = 1024\n"
        "max_connections = 7\nmin_read_bytes_per_s = 9\nread_span_s = 3\n");
    CHECK(set.caller_bytes == 20 * mib);
    CHECK(set.max_connections == 7);
    CHECK(set.read_rate.bytes_per_second == 9.0);
    CHECK(set.read_rate.span == 3s);
    CHECK(found.empty());
    read("limit_mb = 8\ncallers_mb = 4\nmax_descriptors = 5\n"
         "read_span_s = 0\n");
    CHECK(found.size() == 4);
    found.clear();
    read("limit_mb = 64\ncallers_mb = 65\nmax_descriptors = 100\n"
         "max_connections = 101\n");
    CHECK(found.size() == 2);
}
