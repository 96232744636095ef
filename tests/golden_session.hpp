#pragma once

#include "caller_server.hpp"
#include "query_common.hpp"
#include "query_fixture.hpp"
#include "table_controller.hpp"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

/// Sessions with a caller server, recorded as text and compared with a file.
namespace bramleymux::test
{

/// Keeps the log lines of its lifetime, without times.
class log_recorder
{
public:
    log_recorder() : sink_(std::make_shared<line_sink>())
    {
        spdlog::set_default_logger(
            std::make_shared<spdlog::logger>("golden", sink_));
    }

    ~log_recorder()
    {
        spdlog::set_default_logger(previous_);
    }

    log_recorder(const log_recorder&) = delete;
    log_recorder&
    operator=(const log_recorder&) = delete;

    std::vector<std::string>
    take()
    {
        return std::exchange(sink_->lines, {});
    }

private:
    struct line_sink : spdlog::sinks::base_sink<std::mutex>
    {
        std::vector<std::string> lines;

        void
        sink_it_(const spdlog::details::log_msg& message) override
        {
            const auto level = spdlog::level::to_string_view(message.level);
            lines.push_back(
                std::string(level.data(), level.size()) + " " +
                std::string(message.payload.data(), message.payload.size()));
        }

        void
        flush_() override
        {
        }
    };

    std::shared_ptr<spdlog::logger> previous_ = spdlog::default_logger();
    std::shared_ptr<line_sink> sink_;
};

/// Compares `text` with tests/golden/NAME.txt, or writes that file when
/// BRAMLEYMUX_UPDATE_GOLDEN is 1.
inline void
check_golden(const std::string& name, const std::string& text)
{
    const std::string path =
        std::string(SOURCE_DIR) + "/tests/golden/" + name + ".txt";
    const char* update = std::getenv("BRAMLEYMUX_UPDATE_GOLDEN");
    if (update != nullptr && std::string(update) == "1")
    {
        std::ofstream out(path, std::ios::binary);
        out << text;
        out.close();
        REQUIRE(out.good());
        return;
    }
    INFO("golden file " << path << ", written by make golden");
    std::ifstream in(path, std::ios::binary);
    REQUIRE(in.is_open());
    std::ostringstream expected;
    expected << in.rdbuf();
    CHECK(text == expected.str());
}

class unused_targets : public target_api
{
public:
    sub_reply
    execute(const sub_request&, const catalog_target&, monotonic_time,
        const std::string&) override
    {
        return {};
    }

    void
    cancel(const catalog_target&, const std::string&) override
    {
    }

    std::optional<target_report>
    status(const catalog_target&) override
    {
        return std::nullopt;
    }
};

/// One VM of incarnation 1 whose queries use version v1: target a-v1 holds
/// shard 0 and b-v1 holds shard 1, so that each shard has one choice.
class golden_session
{
public:
    explicit golden_session(fake_sink::responder respond)
        : parts(std::move(respond)), gate_(false),
          executor_(targets_, {}, {"vm", 1}),
          tables(parts.board, executor_, gate_, parts.counters),
          server({}, "vm", 1, parts.context, gate_,
              [this](const caller_request& request)
              { return run_write(parts.context, parts.records, request); })
    {
        query_random().seed(1);
        apply(example_table(), 1);
        log_.take();
    }

    /// Applies a table version and takes up its reports.
    void
    apply(const nlohmann::json& value, std::uint64_t version)
    {
        note("table version " + std::to_string(version));
        tables.apply_table(value, version);
        parts.topology = parts.board.topology.get();
        publish(2);
        parts.use_versions(0.0, false);
        note_events();
    }

    void
    publish(std::uint32_t shard_count)
    {
        parts.publish_reports(
            [](const catalog_target& row)
            {
                const shard_id shard = row.name[0] == 'a' ? 0 : 1;
                return std::vector<shard_range>{{shard, shard}};
            },
            shard_count);
    }

    /// Fills the admission of the route "read" until it refuses.
    void
    fill_admission()
    {
        const auto s = find_service(*parts.topology, "s")->self;
        const auto route = find_route(*parts.topology, s, "read")->self;
        while (gate_.enter(route).admitted)
        {
        }
    }

    server_response
    send(const server_request& request)
    {
        text_ << "> " << request.method << ' ' << request.path << '\n';
        for (const auto& [name, value] : request.headers)
        {
            text_ << "> " << name << ": " << value << '\n';
        }
        text_ << ">\n> " << request.body << '\n';
        server_response response = server.handle(request);
        text_ << "< " << response.status << '\n';
        text_ << "< content-type: " << response.content_type << '\n';
        for (const auto& [name, value] : response.headers)
        {
            text_ << "< " << name << ": " << value << '\n';
        }
        text_ << "< connection: "
              << (response.close_connection ? "close" : "keep-alive")
              << "\n<\n< " << response.body << '\n';
        note_events();
        text_ << '\n';
        return response;
    }

    server_response
    post(const std::string& route,
        std::map<std::string, std::string> headers = {},
        const std::string& body = R"({"key":"k"})")
    {
        server_request request;
        request.method = "POST";
        request.path = "/v1/services/s/routes/" + route;
        request.headers = std::move(headers);
        request.body = body;
        return send(request);
    }

    server_response
    get(const std::string& path)
    {
        server_request request;
        request.method = "GET";
        request.path = path;
        return send(request);
    }

    void
    note(const std::string& line)
    {
        text_ << "# " << line << '\n';
    }

    std::string
    text() const
    {
        return text_.str();
    }

    fixture parts;

private:
    void
    note_events()
    {
        for (const std::string& line : log_.take())
        {
            text_ << "! " << line << '\n';
        }
    }

    log_recorder log_;
    std::ostringstream text_;
    unused_targets targets_;
    admission_gate gate_;
    target_executor executor_;

public:
    table_controller tables;
    caller_server server;
};

} // namespace bramleymux::test
