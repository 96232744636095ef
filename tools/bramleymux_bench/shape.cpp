#include "bramleymux_bench/shape.hpp"

#include <cmath>
#include <fstream>
#include <stdexcept>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

const char* const routes[] = {"history", "lineage", "record"};

std::size_t
zone_of_target(std::uint32_t service, std::uint32_t index)
{
    return (service + index) % bench_zone_count;
}

std::vector<bench_vm>
make_vms()
{
    std::vector<bench_vm> out;
    for (std::size_t zone = 0; zone < bench_zone_count; ++zone)
    {
        for (int vm = 1; vm <= 2; ++vm)
        {
            const std::string name = bench_zones[zone];
            out.push_back({"vm-" + name + "-" + std::to_string(vm), name,
                "127.1." + std::to_string(zone + 1) + ".1" +
                    std::to_string(vm)});
        }
    }
    return out;
}

std::vector<std::string>
versions_of(const bench_service& service)
{
    return service.moving ? std::vector<std::string>{"v1", "v2"}
                          : std::vector<std::string>{"v1"};
}

std::string
target_address(
    std::uint32_t service, std::uint32_t index, const std::string& version)
{
    const std::uint32_t port = 7000 + service + (version == "v1" ? 0 : 100);
    return "127.1." + std::to_string(zone_of_target(service, index) + 1) + "." +
           std::to_string(100 + index) + ":" + std::to_string(port);
}

void
write_file(const std::string& path, const std::string& text)
{
    std::ofstream out(path);
    out << text;
    out.close();
    if (!out)
    {
        throw std::runtime_error("cannot write " + path);
    }
}

json
platform_json(const bench_shape& shape)
{
    json vms = json::array();
    for (const bench_vm& vm : shape.vms)
    {
        vms.push_back({{"id", vm.id}, {"zone", vm.zone},
            {"caller_address", vm.caller_address()},
            {"peer_address", vm.peer_address()}, {"state", "live"}});
    }
    return {{"reads_per_second", 2000}, {"writes_per_second", 300},
        {"vm_lag_ms", 2000}, {"vms", vms}};
}

json
simulated_target_json(const bench_shape& shape, std::uint32_t s,
    std::uint32_t i, const std::string& version)
{
    const bench_service& service = shape.services[s];
    return {{"name", target_name(service, i, version)},
        {"address", target_address(s, i, version)}, {"service", service.name},
        {"version", version}, {"zone", bench_zones[zone_of_target(s, i)]},
        {"slots", service.slots}, {"connections", service.connections},
        {"connect_cost_ms", service.connect_cost_ms},
        {"placement", {{"index", i}, {"of", service.searchers},
                          {"copies", shape.copies}}}};
}

json
targets_json(const bench_shape& shape)
{
    json services = json::array();
    json targets = json::array();
    for (std::uint32_t s = 0; s < shape.services.size(); ++s)
    {
        const bench_service& service = shape.services[s];
        services.push_back({{"name", service.name}, {"row_count", service.rows},
            {"snapshots",
                {{{"sequence", 1}, {"shard_count", service.shards}}}}});
        for (const std::string& version : versions_of(service))
        {
            for (std::uint32_t i = 0; i < service.searchers; ++i)
            {
                targets.push_back(simulated_target_json(shape, s, i, version));
            }
        }
    }
    return {{"seed", 1}, {"services", services}, {"targets", targets},
        {"defaults", {{"queue", 8},
                         {"cold", {{"limit", 1}, {"warm_after_requests", 50},
                                      {"cold_factor", 20}}},
                         {"latency", {{"median_us", shape.median_us},
                                         {"sigma", shape.sigma}}}}}};
}

void
add_service_rows(const bench_shape& shape, std::uint32_t s, json& table)
{
    const bench_service& service = shape.services[s];
    table["services"].push_back(
        {{"name", service.name}, {"worth", service.worth},
            {"floor_share", 0.02}, {"min_coverage", 0.0}});
    for (const std::string route : routes)
    {
        table["routes"].push_back({{"service", service.name}, {"name", route},
            {"worth", route == "lineage" ? shape.lineage_worth : 1.0},
            {"idempotent", route != "record"}});
    }
    for (std::uint32_t i = 0; i < service.searchers; ++i)
    {
        table["searchers"].push_back({{"service", service.name},
            {"name", target_name(service, i)}, {"slots", service.slots},
            {"connections", service.connections}, {"cold_limit", 1},
            {"connect_cost_ms", service.connect_cost_ms}});
    }
    for (const std::string& version : versions_of(service))
    {
        table["versions"].push_back({{"service", service.name},
            {"name", version}, {"weight", 1.0}, {"max_share", 1.0}});
        for (std::uint32_t i = 0; i < service.searchers; ++i)
        {
            table["targets"].push_back(
                {{"name", target_name(service, i, version)},
                    {"service", service.name},
                    {"searcher", target_name(service, i)},
                    {"zone", bench_zones[zone_of_target(s, i)]},
                    {"version", version},
                    {"address", target_address(s, i, version)}, {"weight", 1.0},
                    {"draining", false}});
        }
    }
    if (service.moving)
    {
        // Starts in the year 2100 unless an edit sets an earlier time.
        table["moves"].push_back(
            {{"name", service.name}, {"service", service.name}, {"from", "v1"},
                {"to", "v2"}, {"start_ms", 4'102'444'800'000},
                {"deadline_ms", 4'102'444'900'000}, {"soak_ms", 3'000}});
    }
}

json
table_json(const bench_shape& shape)
{
    json table{{"zones", json::array()}, {"services", json::array()},
        {"routes", json::array()}, {"searchers", json::array()},
        {"versions", json::array()}, {"targets", json::array()},
        {"moves", json::array()}};
    for (const char* zone : bench_zones)
    {
        table["zones"].push_back({{"name", zone}, {"region", "main"},
            {"weight", 1.0}, {"out", false}});
    }
    for (std::uint32_t s = 0; s < shape.services.size(); ++s)
    {
        add_service_rows(shape, s, table);
    }
    return table;
}

std::string
settings_text(
    const bench_vm& vm, const std::string& policy, const std::string& directory)
{
    return "[vm]\nid = " + vm.id + "\nzone = " + vm.zone +
           "\n[listen]\ncaller = " + vm.caller_address() +
           "\npeer = " + vm.peer_address() + "\nadmin = " + vm.admin_address() +
           "\n[platform]\naddress = " + platform_address +
           "\n[policy]\nname = " + policy +
           "\n[stop]\nbalancer_delay_ms = 500\n[log]\nfile = " + directory +
           "/" + vm.id + ".log\n";
}

} // namespace

bench_shape
make_shape(const std::string& name)
{
    bench_shape out;
    out.vms = make_vms();
    if (name == "wide")
    {
        out.services.push_back({wide_service, 24, 100, 500, 3, 40, 1, 1, 40});
        for (int i = 1; i <= 4; ++i)
        {
            out.services.push_back(
                {"exam-desk-" + std::to_string(i), 3, 8, 64, 4, 35, 6, 2, 20});
        }
        return out;
    }
    if (name == "moves")
    {
        for (const char* service :
            {"exam-desk-good", "exam-desk-bad", "exam-desk-route"})
        {
            out.services.push_back({service, 3, 8, 64, 4, 35, 6, 1, 200, true});
        }
        return out;
    }
    if (name != "narrow")
    {
        throw std::runtime_error("unknown shape: " + name);
    }
    out.median_us = 40'000;
    // With several replicas, the capacity would depend on how many targets the
    // routing asks per query.
    out.copies = 1;
    out.lineage_worth = 4;
    for (int i = 1; i <= 4; ++i)
    {
        bench_service service{"exam-desk-" + std::to_string(i), 3, 8, 64, 4, 35,
            6, static_cast<double>(i), 0};
        service.queries_per_s = 2 * capacity_per_s(out, service);
        out.services.push_back(service);
    }
    return out;
}

double
capacity_per_s(const bench_shape& shape, const bench_service& service)
{
    const double mean_s =
        shape.median_us / 1e6 * std::exp(shape.sigma * shape.sigma / 2);
    // Replicas of a shard are on consecutive targets, so every `copies`th
    // target is enough to cover all shards.
    const std::uint32_t targets_per_query =
        (service.searchers + shape.copies - 1) / shape.copies;
    return service.searchers * service.slots / mean_s / targets_per_query;
}

std::string
target_name(const bench_service& service, std::uint32_t index,
    const std::string& version)
{
    const std::string name = service.name + "-" + std::to_string(index);
    return version == "v1" ? name : name + "-" + version;
}

expected_rows
rows_of(const bench_service& service)
{
    return {{1, partition_keys(service.rows, service.shards)}};
}

void
write_fleet(const bench_shape& shape, const std::string& policy,
    const std::string& directory)
{
    write_file(directory + "/platform.json", platform_json(shape).dump(1));
    write_file(directory + "/targets.json", targets_json(shape).dump(1));
    write_file(directory + "/table.json", table_json(shape).dump(1));
    std::string vm_list;
    for (const bench_vm& vm : shape.vms)
    {
        write_file(directory + "/" + vm.id + ".ini",
            settings_text(vm, policy, directory));
        vm_list += vm.id + " " + vm.caller_address() + "\n";
    }
    write_file(directory + "/vms.txt", vm_list);
}

} // namespace bramleymux::tools
