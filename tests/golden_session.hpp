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

/// Records sessions with a caller server as text and compares them with golden
/// files.
namespace bramleymux::test
{

/// Captures the log lines written during its lifetime, without timestamps.
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

    /// Returns and clears the lines captured so far.
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

/// Target API for an executor that runs nothing: the fake sink answers instead.
class null_target_api : public target_api
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

/// One VM of incarnation 1 whose queries use version v1. Target a-v1 holds
/// shard 0 and b-v1 holds shard 1, so that every routing choice is fixed. In
/// the transcript, lines of a request start with '>', of its response with '<',
/// of the log with '!' and comments with '#'.
class golden_session
{
public:
    explicit golden_session(fake_sink::responder respond)
        : fixture(std::move(respond)), gate_(false),
          executor_(targets_, {}, {"vm", 1}),
          tables(fixture.board, executor_, gate_, fixture.counters),
          server({}, "vm", 1, fixture.context, gate_,
              [this](const caller_request& request)
              { return run_write(fixture.context, fixture.records, request); })
    {
        query_random().seed(1);
        apply(example_table(), 1);
        log_.take();
    }

    /// Applies a table version and publishes target reports for it.
    void
    apply(const nlohmann::json& value, std::uint64_t version)
    {
        comment("table version " + std::to_string(version));
        tables.apply_table(value, version);
        fixture.topology = fixture.board.topology.get();
        publish(2);
        fixture.use_versions(0.0, false);
        append_events();
    }

    /// Publishes reports of a snapshot with `shard_count` shards; shards from 2
    /// on have no replica.
    void
    publish(std::uint32_t shard_count)
    {
        fixture.publish_reports(
            [](const catalog_target& row)
            {
                const shard_id shard = row.name[0] == 'a' ? 0 : 1;
                return std::vector<shard_range>{{shard, shard}};
            },
            shard_count);
    }

    /// Admits requests of the route "read" until admission refuses one.
    void
    saturate_admission()
    {
        const auto s = find_service(*fixture.topology, "s")->self;
        const auto route = find_route(*fixture.topology, s, "read")->self;
        while (gate_.enter(route).admitted)
        {
        }
    }

    /// Handles a request and records it, the response and the log lines.
    server_response
    send(const server_request& request)
    {
        transcript_ << "> " << request.method << ' ' << request.path << '\n';
        for (const auto& [name, value] : request.headers)
        {
            transcript_ << "> " << name << ": " << value << '\n';
        }
        transcript_ << ">\n> " << request.body << '\n';
        server_response response = server.handle(request);
        transcript_ << "< " << response.status << '\n';
        transcript_ << "< content-type: " << response.content_type << '\n';
        for (const auto& [name, value] : response.headers)
        {
            transcript_ << "< " << name << ": " << value << '\n';
        }
        transcript_ << "< connection: "
                    << (response.close_connection ? "close" : "keep-alive")
                    << "\n<\n< " << response.body << '\n';
        append_events();
        transcript_ << '\n';
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
    comment(const std::string& line)
    {
        transcript_ << "# " << line << '\n';
    }

    std::string
    transcript() const
    {
        return transcript_.str();
    }

    query_fixture fixture;

private:
    void
    append_events()
    {
        for (const std::string& line : log_.take())
        {
            transcript_ << "! " << line << '\n';
        }
    }

    log_recorder log_;
    std::ostringstream transcript_;
    null_target_api targets_;
    admission_gate gate_;
    target_executor executor_;

public:
    table_controller tables;
    caller_server server;
};

} // namespace bramleymux::test
