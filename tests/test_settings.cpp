#include "settings.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bramleymux;

namespace
{

const std::string valid_text = "[vm]\nid=vm-1\nzone=a\n"
                               "[listen]\ncaller=127.0.0.1:8080\n"
                               "peer=127.0.0.1:8081\nadmin=127.0.0.1:8082\n"
                               "[platform]\naddress=127.0.0.1:9000\n";

bool
has_place(const findings& found, const std::string& place)
{
    return std::any_of(found.begin(), found.end(),
        [&](const finding& f) { return f.place == place; });
}

} // namespace

// Guards against a valid file that is refused or whose values are misread.
TEST_CASE("valid settings have no findings", "[settings]")
{
    findings found;
    const settings s = parse_settings(
        valid_text + "[policy]\nname=baseline\nextra_load_share=0.02\n",
        "x.ini", found);
    CHECK(found.empty());
    CHECK(s.vm_id == "vm-1");
    CHECK(s.policy == policy_kind::baseline);
    CHECK(s.extra_load_share == 0.02);
}

// Guards against reporting only the first fault, since operators would then
// need one restart for each fault in a file.
TEST_CASE("all findings are reported together with their place", "[settings]")
{
    findings found;
    parse_settings("[vm]\nid=has space\n[listen]\ncaller=localhost:1\n"
                   "peer=127.0.0.1:70000\n[policy]\nextra_load_share=2\n"
                   "[limits]\nworker_threads=many\nworker_threads=3\n"
                   "[nonsense]\nkey=1\n",
        "x.ini", found);
    CHECK(has_place(found, "x.ini: [vm] id"));
    CHECK(has_place(found, "x.ini: [vm] zone"));
    CHECK(has_place(found, "x.ini: [listen] caller"));
    CHECK(has_place(found, "x.ini: [listen] peer"));
    CHECK(has_place(found, "x.ini: [listen] admin"));
    CHECK(has_place(found, "x.ini: [platform] address"));
    CHECK(has_place(found, "x.ini: [policy] extra_load_share"));
    CHECK(has_place(found, "x.ini: [nonsense] key"));
    const auto repeated = std::count_if(found.begin(), found.end(),
        [](const finding& f)
        { return f.place == "x.ini: [limits] worker_threads"; });
    CHECK(repeated == 2);
}

// Guards against peer links without mutual authentication when the TLS settings
// are incomplete, and against an admin API on the callers' address.
TEST_CASE("settings that depend on each other are checked", "[settings]")
{
    findings found;
    std::string text = valid_text + "[tls]\npeer_key=k.pem\n";
    text.replace(text.find("8082"), 4, "8080");
    parse_settings(text, "x.ini", found);
    CHECK(has_place(found, "x.ini: [tls] peer_certificate"));
    CHECK(has_place(found, "x.ini: [listen] admin"));
}
