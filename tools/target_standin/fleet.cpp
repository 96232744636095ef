#include "target_standin/fleet.hpp"

#include <algorithm>
#include <stdexcept>
#include <thread>

namespace bramleymux::tools
{

using nlohmann::json;

namespace
{

/// Returns true if the field is absent, equals the value, or is an array that
/// contains it.
bool
field_matches(const json& wanted, const char* name, const std::string& value)
{
    const auto it = wanted.find(name);
    if (it == wanted.end())
    {
        return true;
    }
    return it->is_array()
               ? std::find(it->begin(), it->end(), value) != it->end()
               : *it == value;
}

bool
is_selected(const json& command, const target_config& c)
{
    const json wanted = command.value("match", json::object());
    return field_matches(wanted, "name", c.name) &&
           field_matches(wanted, "service", c.service) &&
           field_matches(wanted, "version", c.version) &&
           field_matches(wanted, "zone", c.zone);
}

/// Stops the targets in parallel, because CivetWeb takes up to 2 s to stop a
/// server with idle connections.
void
stop_all(const std::vector<target*>& targets)
{
    std::vector<std::thread> threads;
    threads.reserve(targets.size());
    for (target* t : targets)
    {
        threads.emplace_back([t] { t->stop(); });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
}

server_response
bad_request(const char* title)
{
    return json_response(400, {{"title", title}});
}

} // namespace

fleet::fleet(const json& config)
{
    for (const json& item : config.at("services"))
    {
        const auto name = item.at("name").get<std::string>();
        auto data = std::make_shared<service_data>(name);
        data->configure(item);
        services_[name] = std::move(data);
    }
    std::uint64_t seed = config.value("seed", std::uint64_t{1});
    for (const json& item : config.at("targets"))
    {
        json merged = config.value("defaults", json::object());
        merged.merge_patch(item);
        target_config c = parse_target_config(merged);
        const auto service = services_.find(c.service);
        if (service == services_.end())
        {
            throw std::runtime_error(
                "target " + c.name + ": unknown service " + c.service);
        }
        targets_.push_back(
            std::make_unique<target>(std::move(c), service->second, seed++));
        stopped_.push_back(merged.value("stopped", false));
    }
}

fleet::~fleet()
{
    std::vector<target*> all;
    for (const auto& t : targets_)
    {
        all.push_back(t.get());
    }
    stop_all(all);
}

void
fleet::start()
{
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        if (!stopped_[i])
        {
            targets_[i]->start();
        }
    }
}

void
fleet::apply_to_target(target& t, const json& command)
{
    const auto action = command.value("action", std::string());
    if (action == "cold" || action == "restart")
    {
        t.make_cold(action == "restart");
    }
    else if (action == "drain" || action == "undrain")
    {
        t.set_draining(action == "drain");
    }
    else if (action == "stop")
    {
        t.stop();
    }
    else if (action == "start")
    {
        t.make_cold(true);
        t.start();
    }
    else if (action == "heal")
    {
        t.reset_faults();
    }
    else if (!action.empty())
    {
        throw std::runtime_error("no such action: " + action);
    }
    if (command.contains("faults"))
    {
        t.merge_faults(command.at("faults"));
    }
    t.merge_placement(command);
}

void
fleet::apply(const json& command)
{
    if (command.contains("snapshots"))
    {
        const auto name = command.at("service").get<std::string>();
        const auto service = services_.find(name);
        if (service == services_.end())
        {
            throw std::runtime_error("no such service: " + name);
        }
        service->second->configure(command);
        return;
    }
    std::vector<target*> selected;
    for (const auto& t : targets_)
    {
        if (is_selected(command, t->config()))
        {
            selected.push_back(t.get());
        }
    }
    if (selected.empty())
    {
        throw std::runtime_error("no target matches");
    }
    if (command.value("action", std::string()) == "stop")
    {
        stop_all(selected);
    }
    for (target* t : selected)
    {
        apply_to_target(*t, command);
    }
}

json
fleet::stats(bool with_keys) const
{
    json out = json::object();
    for (const auto& t : targets_)
    {
        out[t->config().name] = t->stats_json(with_keys);
    }
    return {{"targets", std::move(out)}};
}

server_response
fleet::control(const server_request& request)
{
    if (request.method == "GET" && request.path == "/control/stats")
    {
        return json_response(
            200, stats(query_parameter(request, "keys") == "1"));
    }
    if (request.method != "POST")
    {
        return json_response(404, {{"title", "no such control"}});
    }
    if (request.path == "/control/reset")
    {
        for (const auto& t : targets_)
        {
            t->reset_stats();
        }
        return json_response(200, json::object());
    }
    try
    {
        json commands = json::parse(request.body);
        if (!commands.is_array())
        {
            commands = json::array({std::move(commands)});
        }
        for (const json& command : commands)
        {
            apply(command);
        }
        return json_response(200, json::object());
    }
    catch (const std::exception& e)
    {
        return bad_request(e.what());
    }
}

} // namespace bramleymux::tools
