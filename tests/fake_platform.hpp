#pragma once

#include "platform.hpp"

#include <functional>
#include <map>
#include <vector>

/// In-memory platform with fault injection.
class fake_platform : public bramleymux::platform_api
{
public:
    using errc = bramleymux::platform_errc;
    template <class T>
    using result = bramleymux::platform_result<T>;

    bool down = false;
    // Numbers of upcoming writes that return `reply_lost`.
    int lose_replies = 0;         ///< applied
    int lose_requests = 0;        ///< never applied
    int delay_writes = 0;         ///< applied by `deliver`
    bool down_after_loss = false; ///< goes down after a loss or a conflict
    std::function<void(const std::string&)> before_write; ///< called once
    std::map<std::string, bramleymux::object> objects;
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t lists = 0;

    result<bramleymux::object>
    get(const std::string& key) override
    {
        ++reads;
        if (down)
        {
            return errc::unavailable;
        }
        const auto at = objects.find(key);
        if (at == objects.end())
        {
            return errc::not_found;
        }
        return at->second;
    }

    result<std::uint64_t>
    put(const std::string& key, const nlohmann::json& value,
        std::uint64_t expected) override
    {
        const auto written = write({key, expected, value, false});
        if (!written)
        {
            return written.error();
        }
        return objects[key].version;
    }

    result<void>
    remove(const std::string& key, std::uint64_t expected) override
    {
        return write({key, expected, nullptr, true});
    }

    result<std::vector<bramleymux::object>>
    list(const std::string& prefix) override
    {
        ++lists;
        if (down)
        {
            return errc::unavailable;
        }
        std::vector<bramleymux::object> out;
        for (const auto& [key, value] : objects)
        {
            if (key.compare(0, prefix.size(), prefix) == 0)
            {
                out.push_back(value);
            }
        }
        return out;
    }

    result<std::optional<bramleymux::object>>
    watch(const std::string& key, std::uint64_t after,
        bramleymux::duration) override
    {
        const auto found = get(key);
        if (!found)
        {
            return found.error();
        }
        return found.value().version > after
                   ? std::optional<bramleymux::object>(found.value())
                   : std::nullopt;
    }

    result<std::vector<bramleymux::vm_list_entry>>
    vms() override
    {
        return std::vector<bramleymux::vm_list_entry>{};
    }

    /// Applies the delayed writes.
    void
    deliver()
    {
        for (const pending& w : std::exchange(delayed_, {}))
        {
            (void)apply(w);
        }
    }

private:
    struct pending
    {
        std::string key;
        std::uint64_t expected;
        nlohmann::json value;
        bool remove;
    };

    result<void>
    write(const pending& w)
    {
        if (before_write)
        {
            std::exchange(before_write, nullptr)(w.key);
        }
        ++writes;
        if (down)
        {
            return errc::unavailable;
        }
        if (lose_requests > 0 || delay_writes > 0)
        {
            if (delay_writes > 0)
            {
                --delay_writes;
                delayed_.push_back(w);
            }
            else
            {
                --lose_requests;
            }
            down = down || down_after_loss;
            return errc::reply_lost;
        }
        const auto applied = apply(w);
        if (lose_replies > 0)
        {
            --lose_replies;
            down = down || down_after_loss;
            return errc::reply_lost;
        }
        down = down || (!applied && down_after_loss);
        return applied;
    }

    result<void>
    apply(const pending& w)
    {
        const auto at = objects.find(w.key);
        const std::uint64_t now = at == objects.end() ? 0 : at->second.version;
        if (now != w.expected)
        {
            return errc::conflict;
        }
        if (w.remove)
        {
            objects.erase(w.key);
        }
        else
        {
            objects[w.key] = {w.key, ++last_version_, w.value};
        }
        return bramleymux::outcome::success();
    }

    std::uint64_t last_version_ = 0;
    std::vector<pending> delayed_;
};
