#include "daemon.hpp"

#include "admin_server.hpp"
#include "caller_server.hpp"
#include "fleet_controller.hpp"
#include "log_events.hpp"
#include "move_controller.hpp"
#include "peer_link.hpp"
#include "platform_client.hpp"
#include "platform_controller.hpp"
#include "platform_writer.hpp"
#include "query_write.hpp"
#include "target_client.hpp"
#include "target_poller.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <thread>

namespace bramleymux
{

namespace
{

constexpr auto handover_time = std::chrono::milliseconds(500);
constexpr std::size_t admin_threads = 4;
constexpr std::size_t spare_connections = 2; // for polls and cancellations

vm_identity
make_identity(const settings& values)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    vm_identity self;
    self.id = values.vm_id;
    self.zone = values.zone;
    self.peer_address = values.peer_listen;
    self.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    return self;
}

peer_link_settings
link_settings(const settings& values, const vm_identity& self)
{
    const std::size_t colon = values.peer_listen.rfind(':');
    peer_link_settings out;
    out.self = self;
    out.bind_ip = values.peer_listen.substr(0, colon);
    out.port = static_cast<std::uint16_t>(
        std::stoi(values.peer_listen.substr(colon + 1)));
    out.tls = {
        values.tls.peer_certificate, values.tls.peer_key, values.tls.peer_ca};
    out.seed = self.incarnation;
    return out;
}

http_server_options
caller_options(const settings& values)
{
    return {values.caller_listen, values.caller_threads, values.max_body_bytes,
        values.tls.caller_certificate, ""};
}

http_server_options
admin_options(const settings& values)
{
    return {values.admin_listen, admin_threads, config::max_table_bytes,
        values.tls.admin_certificate, values.tls.admin_client_ca};
}

std::vector<vm_list_entry>
seed_entries(const settings& values)
{
    std::vector<vm_list_entry> out;
    for (const peer_seed& seed : values.peer_seeds)
    {
        out.push_back({seed.id, seed.zone, seed.address, vm_list_state::live});
    }
    return out;
}

span_exporter
make_exporter(const settings& values);

} // namespace

struct daemon::parts
{
    explicit parts(const settings& v);

    ownership_gate
    make_gate();
    executor_options
    make_executor_options() const;
    query_context
    make_query_context();
    void
    on_message(peer_message message);
    void
    on_vm_list(const std::vector<vm_list_entry>& list);
    void
    on_control_message(const peer_message& message);
    void
    on_control_period(const std::vector<vm_identity>& live);
    void
    count_traffic();
    std::vector<vm_identity>
    live_peers() const;
    nlohmann::json
    status_object() const;
    bool
    should_poll(const catalog_target& target);
    std::size_t
    wanted_connections(const catalog_target& target) const;

    const settings values;
    const vm_identity self;
    const bool direct; ///< baseline policy: ignores ownership
    metrics counters;
    tracer spans;
    blackboard board;
    admission_gate gate;
    ownership_guard ownership;
    target_client targets;
    platform_client platform;
    shared_budget budget;
    budgeted_platform idempotency_calls;
    budgeted_platform table_calls;
    budgeted_platform status_calls;
    budgeted_platform lease_calls;
    budgeted_platform list_calls;
    idempotency_store records;
    target_executor executor;
    table_controller tables;
    report_controller reports;
    peer_link peers;
    dispatcher request_dispatcher;
    move_controller moves;
    fleet_controller fleet;
    target_poller poller;
    platform_controller platform_reader;
    platform_writer writer;
    caller_server callers;
    admin_server admin;
    std::unique_ptr<http_server> caller_http;
    std::unique_ptr<http_server> admin_http;
};

daemon::parts::parts(const settings& v)
    : values(v), self(make_identity(v)),
      direct(v.policy == policy_kind::baseline),
      spans(v.vm_id, v.zone, v.trace_sample, make_exporter(v)),
      board(v.extra_load_share), gate(direct),
      ownership({self.id, self.incarnation}, monotonic_clock::now()),
      targets(direct ? v.baseline_limit + spare_connections
                     : std::numeric_limits<std::size_t>::max()),
      platform(*parse_http_address(v.platform_address)),
      budget(make_budget(1, monotonic_clock::now()), self.incarnation),
      idempotency_calls(
          platform, budget, platform_call::idempotency, monotonic_clock::now),
      table_calls(platform, budget, platform_call::table, monotonic_clock::now),
      status_calls(
          platform, budget, platform_call::status, monotonic_clock::now),
      lease_calls(platform, budget, platform_call::lease, monotonic_clock::now),
      list_calls(platform, budget, platform_call::list, monotonic_clock::now),
      records(idempotency_calls, self.incarnation),
      executor(targets, make_gate(), make_executor_options()),
      tables(board, executor, gate, counters),
      reports(board, executor, self.id, direct),
      peers(link_settings(v, self),
          [this](peer_message m) { on_message(std::move(m)); }),
      request_dispatcher(
          board.owners, executor, peers, counters, self,
          [this](const std::string& name)
          { return tables.find_target_handle(name); },
          direct),
      moves(board, reports, peers, self),
      fleet(
          {board, peers, request_dispatcher, executor, tables, reports,
              ownership, counters},
          self, self.incarnation, direct,
          [this](const peer_message& m) { on_control_message(m); },
          [this](const std::vector<vm_identity>& live)
          { on_control_period(live); }),
      poller(
          board, executor, reports, targets,
          [this](const catalog_target& t) { return should_poll(t); }, self.id,
          [this](const catalog_target& t) { return wanted_connections(t); }),
      platform_reader(table_calls, list_calls, fleet, tables, counters,
          self.incarnation,
          [this](const std::vector<vm_list_entry>& list) { on_vm_list(list); }),
      writer(
          {table_calls, lease_calls, status_calls, list_calls}, records, moves,
          board, peers, self, [this] { return live_peers(); },
          [this] { return status_object(); }),
      callers(v, self.id, self.incarnation, make_query_context(), gate,
          [this](const caller_request& r)
          { return run_write(make_query_context(), records, r); }),
      admin({board, platform, fleet, reports, executor, counters, self.id,
                [this] { return moves.status(); }},
          v.admin_token_file)
{
}

ownership_gate
daemon::parts::make_gate()
{
    if (direct)
    {
        return {[](const std::string&, monotonic_time)
            { return monotonic_time::max(); },
            [](const std::string&, monotonic_time) { return 0U; }};
    }
    return {[this](const std::string& target, monotonic_time now)
        { return ownership.lease_end_for(target, now); },
        [this](const std::string& target, monotonic_time now)
        {
            return ownership.with([&](const ownership_state& s)
                { return s.foreign_running(target, now); });
        }};
}

executor_options
daemon::parts::make_executor_options() const
{
    executor_options out;
    out.vm_id = self.id;
    out.incarnation = self.incarnation;
    out.policy = direct ? limit_policy::baseline : limit_policy::adaptive;
    out.baseline_limit = values.baseline_limit;
    out.max_threads = values.worker_threads;
    out.seed = self.incarnation;
    return out;
}

query_context
daemon::parts::make_query_context()
{
    query_context out{board, request_dispatcher, counters, spans, values.policy,
        &gate, [this](const version_reply& r) { moves.record_reply(r); }};
    return out;
}

void
daemon::parts::on_message(peer_message message)
{
    switch (message.type)
    {
    case peer_message_type::sub_batch:
    case peer_message_type::sub_reply:
    case peer_message_type::cancel:
        request_dispatcher.on_message(message);
        break;
    default:
        fleet.post(std::move(message));
        break;
    }
}

void
daemon::parts::on_control_message(const peer_message& message)
{
    if (message.type == peer_message_type::claim_void)
    {
        writer.on_message(message);
        return;
    }
    moves.on_message(message);
}

void
daemon::parts::on_control_period(const std::vector<vm_identity>& live)
{
    moves.run_control_cycle(live, monotonic_clock::now());
    budget.set_vm_count(live.size() + 1);
    count_traffic();
}

/// Updates the traffic metrics. Bytes of query messages do not count as control
/// traffic.
void
daemon::parts::count_traffic()
{
    const peer_link_stats link = peers.stats();
    traffic_count in;
    traffic_count out;
    traffic_count query_in;
    traffic_count query_out;
    for (std::size_t i = 0; i < link.sent.size(); ++i)
    {
        const auto type = static_cast<peer_message_type>(i);
        const bool query = type == peer_message_type::sub_batch ||
                           type == peer_message_type::sub_reply ||
                           type == peer_message_type::cancel;
        in.messages += link.received[i].messages;
        in.bytes += link.received[i].bytes;
        out.messages += link.sent[i].messages;
        out.bytes += link.sent[i].bytes;
        query_in.bytes += query ? link.received[i].bytes : 0;
        query_out.bytes += query ? link.sent[i].bytes : 0;
    }
    counters.set(counter::peer_messages_in, in.messages);
    counters.set(counter::peer_messages_out, out.messages);
    counters.set(counter::peer_bytes_in, in.bytes);
    counters.set(counter::peer_bytes_out, out.bytes);
    counters.set(counter::control_bytes_in, in.bytes - query_in.bytes);
    counters.set(counter::control_bytes_out, out.bytes - query_out.bytes);
}

std::vector<vm_identity>
daemon::parts::live_peers() const
{
    std::vector<vm_identity> out;
    for (const known_vm& vm : fleet.status().vms)
    {
        if (vm.presence == vm_presence::live && vm.identity.id != self.id)
        {
            out.push_back(vm.identity);
        }
    }
    return out;
}

/// Value of the status object that the lease holder writes for operators.
nlohmann::json
daemon::parts::status_object() const
{
    const std::uint64_t version = counters.read()[counter::table_version];
    const in_force_report report = fleet.in_force_of(version);
    return {{"by", self.id}, {"table_version", version},
        {"everywhere", report.everywhere()}, {"applied", report.applied},
        {"pending", report.pending}, {"cut_off", report.cut_off},
        {"unconfirmed", report.unconfirmed}, {"moves", moves.status()}};
}

/// Marks the targets that the platform's VM list reports as leaving. Targets
/// may be on that list under their own names.
void
daemon::parts::on_vm_list(const std::vector<vm_list_entry>& list)
{
    std::vector<target_handle> leaving;
    for (const vm_list_entry& entry : list)
    {
        const target_handle target = tables.find_target_handle(entry.id);
        if (target.is_valid() && entry.state == vm_list_state::leaving)
        {
            leaving.push_back(target);
        }
    }
    executor.set_leaving(leaving);
}

/// Whether this VM polls the target: as its owner, or always under the baseline
/// policy.
bool
daemon::parts::should_poll(const catalog_target& target)
{
    return direct || ownership.lease_end_for(target.name,
                         monotonic_clock::now()) != monotonic_time::min();
}

/// Under the baseline policy, every VM connects to every target, so each keeps
/// only the connections that its own limit requires.
std::size_t
daemon::parts::wanted_connections(const catalog_target& target) const
{
    return direct ? values.baseline_limit + spare_connections
                  : target.slots + spare_connections;
}

daemon::daemon(const settings& values) : parts_(std::make_unique<parts>(values))
{
    parts& p = *parts_;
    if (!p.peers.start())
    {
        throw std::runtime_error("cannot listen on " + p.values.peer_listen);
    }
    p.fleet.post_vm_list(seed_entries(p.values));
    p.fleet.start();
    p.platform_reader.start();
    p.writer.start();
    p.admin_http = std::make_unique<http_server>(admin_options(p.values),
        [&p](const server_request& r) { return p.admin.handle(r); });
    p.caller_http = std::make_unique<http_server>(caller_options(p.values),
        [&p](const server_request& r) { return p.callers.handle(r); });
    log_event(event::daemon_started,
        "vm=" + p.self.id + " zone=" + p.self.zone +
            " incarnation=" + std::to_string(p.self.incarnation) +
            " caller=" + p.values.caller_listen);
}

daemon::~daemon()
{
    parts& p = *parts_;
    p.writer.stop();
    p.platform_reader.stop();
    p.poller.stop();
    p.fleet.stop();
    p.peers.stop();
}

void
daemon::stop()
{
    parts& p = *parts_;
    log_event(event::daemon_stopping, "vm=" + p.self.id);
    p.callers.fail_readiness();
    std::this_thread::sleep_for(
        std::chrono::milliseconds(p.values.balancer_delay_ms));
    const monotonic_time until =
        monotonic_clock::now() +
        std::chrono::milliseconds(p.values.drain_timeout_ms);
    const bool callers_done = p.callers.drain(until);
    p.executor.drain();
    p.fleet.release_targets(monotonic_clock::now() + handover_time);
    const bool work_done = p.executor.wait_idle(until);
    p.writer.stop();
    p.fleet.leave();
    p.caller_http->stop();
    p.admin_http->stop();
    log_event(event::daemon_stopped,
        "vm=" + p.self.id + " callers_done=" + std::to_string(callers_done) +
            " work_done=" + std::to_string(work_done));
}

void
daemon::reload()
{
    if (parts_->values.tls.peer_certificate.empty())
    {
        return;
    }
    const bool reloaded = parts_->peers.reload_tls();
    log_event(
        reloaded ? event::tls_reloaded : event::tls_reload_failed, "port=peer");
}

namespace
{

constexpr auto export_timeout = std::chrono::seconds(2);

span_exporter
make_exporter(const settings& values)
{
    if (values.trace_file.empty() && values.trace_collector.empty())
    {
        return {};
    }
    const auto collector = parse_http_address(
        values.trace_collector.empty() ? "0.0.0.0:0" : values.trace_collector);
    return [file = values.trace_file, collector,
               post = !values.trace_collector.empty()](const std::string& text)
    {
        if (!file.empty())
        {
            std::FILE* out = std::fopen(file.c_str(), "a");
            if (out != nullptr)
            {
                std::fwrite(text.data(), 1, text.size(), out);
                std::fputc('\n', out);
                std::fclose(out);
            }
        }
        if (post)
        {
            const monotonic_time until =
                monotonic_clock::now() + export_timeout;
            auto connection = http_connection::open(*collector, until);
            if (connection)
            {
                static_cast<void>(connection.value().exchange(
                    {"POST", "/v1/traces",
                        {{"Content-Type", "application/json"}}, text},
                    until));
            }
        }
    };
}

} // namespace

} // namespace bramleymux
