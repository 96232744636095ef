#include "table_controller.hpp"

#include "log_events.hpp"

namespace bramleymux
{

table_controller::table_controller(blackboard& board, target_executor& executor,
    admission_gate& gate, metrics& counters)
    : board_(board), executor_(executor), gate_(gate), metrics_(counters)
{
}

bool
table_controller::apply_table(
    const nlohmann::json& value, std::uint64_t version)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (version <= version_)
    {
        return false;
    }
    findings found;
    table parsed = parse_table(value, version, found);
    if (found.empty())
    {
        found = validate(parsed);
    }
    if (!found.empty())
    {
        log_event(event::table_invalid,
            "version=" + std::to_string(version) +
                " findings=" + std::to_string(found.size()) + " first=\"" +
                found.front().place + ": " + found.front().message + "\"");
        return false;
    }
    const std::shared_ptr<const catalog> topology =
        build_catalog(parsed, names_);
    board_.rows.set(std::make_shared<const table>(std::move(parsed)));
    executor_.set_catalog(topology);
    gate_.apply_catalog(*topology);
    board_.topology.set(topology);
    version_ = version;
    metrics_.set(counter::table_version, version);
    log_event(event::table_adopted, "version=" + std::to_string(version));
    return true;
}

std::uint64_t
table_controller::version() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return version_;
}

target_handle
table_controller::find_target_handle(const std::string& name) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return {names_.targets.find(name)};
}

} // namespace bramleymux
