#include "duties/duty_candidates.hpp"

#include "config/duties.hpp"

#include <xxhash.h>

#include <cstdint>
#include <utility>

namespace bramleymux
{

namespace
{

/// Ordered by hash, then by id, so that VMs agree also on equal hashes.
std::pair<std::uint64_t, std::string>
position_of(const std::string& duty, const std::string& vm_id)
{
    const std::string key = duty + "/" + vm_id;
    return {XXH64(key.data(), key.size(), 0), vm_id};
}

} // namespace

std::optional<std::size_t>
find_candidate_rank(const std::vector<registered_vm>& vms,
    const std::string& duty, const std::string& self_id)
{
    const auto self = position_of(duty, self_id);
    std::size_t rank = 0;
    bool registered = false;
    for (const registered_vm& vm : vms)
    {
        registered = registered || vm.id == self_id;
        if (position_of(duty, vm.id) < self)
        {
            ++rank;
        }
    }
    return registered && rank < config::duty_candidates
               ? std::optional<std::size_t>(rank)
               : std::nullopt;
}

} // namespace bramleymux
