#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins of the platform, the targets and the callers for the cases of the
/// review, and the start of the entry program as separate processes. Blocking
/// sockets with one thread for each connection; shares no code with the
/// programs under test.
namespace review
{

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline double
since(time_point start, time_point at = clock::now())
{
    return std::chrono::duration<double>(at - start).count();
}

/// Writes what was sent, answered and run to record.txt, one line each.
class record
{
public:
    explicit record(const std::string& path)
        : out_(path, std::ios::trunc), start_(clock::now())
    {
    }

    void
    note(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", since(start_));
        out_ << at << text << "\n" << std::flush;
    }

    time_point
    start() const
    {
        return start_;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    time_point start_;
};

struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string
    field(const std::string& name) const
    {
        for (const auto& f : fields)
        {
            if (::strcasecmp(f.first.c_str(), name.c_str()) == 0)
            {
                return f.second;
            }
        }
        return {};
    }

    /// Word `n` of the first line.
    std::string
    word(int n) const
    {
        std::size_t from = 0;
        for (; n > 0 && from != std::string::npos; --n)
        {
            from = first_line.find(' ', from);
            from += from == std::string::npos ? 0 : 1;
        }
        return from == std::string::npos
                   ? std::string()
                   : first_line.substr(from, first_line.find(' ', from) - from);
    }

    int
    status() const
    {
        return std::atoi(word(1).c_str());
    }
};

/// A connected stream socket, closed at the end.
class stream
{
public:
    explicit stream(int fd) : fd_(fd)
    {
        int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~stream()
    {
        ::close(fd_);
    }
    stream(const stream&) = delete;
    stream&
    operator=(const stream&) = delete;

    bool
    write(const std::string& bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size())
        {
            const ssize_t n = ::send(
                fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            done += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads one message with a Content-Length, or none. Returns false at the
    /// end of the stream, after an error or at `until`.
    bool
    read(message& out, time_point until = time_point::max())
    {
        std::size_t head = 0;
        while ((head = input_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill(until))
            {
                return false;
            }
        }
        out = {};
        std::size_t from = 0;
        while (from < head)
        {
            const std::size_t end = std::min(input_.find("\r\n", from), head);
            const std::string line = input_.substr(from, end - from);
            from = end + 2;
            const std::size_t colon = line.find(':');
            if (out.first_line.empty())
            {
                out.first_line = line;
            }
            else if (colon != std::string::npos)
            {
                const std::size_t value =
                    line.find_first_not_of(' ', colon + 1);
                out.fields.emplace_back(line.substr(0, colon),
                    value == std::string::npos ? "" : line.substr(value));
            }
        }
        const std::size_t length = static_cast<std::size_t>(
            std::atoll(out.field("Content-Length").c_str()));
        while (input_.size() < head + 4 + length)
        {
            if (!fill(until))
            {
                return false;
            }
        }
        out.body = input_.substr(head + 4, length);
        input_.erase(0, head + 4 + length);
        return true;
    }

    /// Whether the peer has ended the stream; does not wait.
    bool
    ended() const
    {
        char next = 0;
        return ::recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

private:
    bool
    fill(time_point until)
    {
        if (until != time_point::max())
        {
            const auto left =
                std::chrono::duration_cast<milliseconds>(until - clock::now())
                    .count();
            pollfd p{fd_, POLLIN, 0};
            if (left <= 0 || ::poll(&p, 1, static_cast<int>(left)) <= 0)
            {
                return false;
            }
        }
        char buffer[16384];
        const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
        if (n <= 0)
        {
            return false;
        }
        input_.append(buffer, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string input_;
};

inline sockaddr_in
socket_address(const std::string& ip, int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

/// Returns a connection, or null.
inline std::unique_ptr<stream>
connect_to(const std::string& address)
{
    const std::size_t colon = address.find(':');
    const sockaddr_in a = socket_address(
        address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0)
    {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<stream>(fd);
}

inline std::string
http_reply_text(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on a free loopback port; `serve` runs on a thread of its
/// own for each.
class listener
{
public:
    explicit listener(std::function<void(stream&)> serve)
        : serve_(std::move(serve))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in a = socket_address("127.0.0.1", 0);
        socklen_t size = sizeof a;
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&a), size) != 0 ||
            ::listen(fd_, 512) != 0 ||
            ::getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size) != 0)
        {
            std::perror("listen");
            std::_Exit(2);
        }
        port_ = ntohs(a.sin_port);
        std::thread([this] { accept_all(); }).detach();
    }

    std::string
    address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    void
    accept_all()
    {
        while (true)
        {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                continue;
            }
            std::thread(
                [this, fd]
                {
                    stream s(fd);
                    serve_(s);
                })
                .detach();
        }
    }

    std::function<void(stream&)> serve_;
    int fd_ = -1;
    int port_ = 0;
};

/// The platform's store: objects by kind and name, lists, watches, and
/// conditional writes. Specs of the operator and the targets are kept and
/// handed out as the bytes that were written.
class store
{
public:
    store() : listener_([this](stream& s) { serve(s, nullptr); }) {}

    std::string
    address() const
    {
        return listener_.address();
    }

    /// The path of one VM to the store. Cut, it takes connections and bytes
    /// and answers nothing; the connections that were open end with the cut.
    class path
    {
    public:
        explicit path(store& s)
            : listener_(
                  [this, &s](stream& connection) { s.serve(connection, this); })
        {
        }

        std::string
        address() const
        {
            return listener_.address();
        }

        std::atomic<bool> cut{false};
        std::atomic<int> watches{0}; ///< of the desired state, so far
        /// Milliseconds of the steady clock at the last list of rollouts.
        std::atomic<std::int64_t> rollouts_listed_ms{0};

    private:
        listener listener_;
    };

    /// Writes an object as the operator or a target does; the return is the
    /// acknowledgement.
    time_point
    put(const std::string& kind, const std::string& name,
        const std::string& spec)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        object& o = objects_[kind][name];
        o.name = name;
        o.spec = spec;
        publish(kind, o, false);
        return clock::now();
    }

    void
    remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const object o = objects_[kind][name];
        objects_[kind].erase(name);
        publish(kind, o, true);
    }

    /// Called with the name and the status that a write sets, once stored.
    std::function<void(const std::string& kind, const std::string& name,
        const std::string& status)>
        on_status;

private:
    struct object
    {
        std::string name;
        std::string spec = "null";
        std::string status = "null";
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct event
    {
        std::uint64_t revision;
        std::string kind;
        std::string text;
    };

    static std::string
    text_of(const object& o)
    {
        return "{\"meta\":{\"name\":" + nlohmann::json(o.name).dump() +
               ",\"revision\":" + std::to_string(o.revision) +
               ",\"createdRev\":" + std::to_string(o.created) +
               ",\"finalizers\":[],\"deletionPending\":false},\"spec\":" +
               o.spec + ",\"status\":" + o.status + "}";
    }

    template <class Object>
    void
    publish(const std::string& kind, Object& o, bool deleted)
    {
        object copy = o;
        copy.revision = ++revision_;
        copy.created = copy.created == 0 ? revision_ : copy.created;
        if constexpr (!std::is_const_v<Object>)
        {
            o = copy;
        }
        history_.push_back({revision_, kind,
            "{\"object\":" + text_of(copy) +
                ",\"deleted\":" + (deleted ? "true" : "false") + "}"});
        changed_.notify_all();
    }

    void
    serve(stream& s, path* from)
    {
        message request;
        while (s.read(request))
        {
            if (from != nullptr)
            {
                note_call(*from, request.word(1));
            }
            const bool was_cut = wait_for_cut(from);
            const std::string reply = was_cut ? std::string() : answer(request);
            if (was_cut || wait_for_cut(from) || !s.write(reply))
            {
                return;
            }
        }
    }

    static void
    note_call(path& from, const std::string& target)
    {
        if (target.find("/config?watch=") != std::string::npos)
        {
            ++from.watches;
        }
        if (target.find("/rollouts?serializable") != std::string::npos)
        {
            from.rollouts_listed_ms = std::chrono::duration_cast<milliseconds>(
                clock::now().time_since_epoch())
                                          .count();
        }
    }

    /// Waits until the path is not cut. Returns whether it was.
    static bool
    wait_for_cut(const path* from)
    {
        const bool was_cut = from != nullptr && from->cut;
        while (from != nullptr && from->cut)
        {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return was_cut;
    }

    static std::string
    query_value(const std::string& query, const std::string& name)
    {
        const std::size_t at = ("&" + query).find("&" + name + "=");
        if (at == std::string::npos)
        {
            return {};
        }
        const std::string rest = query.substr(at + name.size() + 1);
        return rest.substr(0, rest.find('&'));
    }

    std::string
    answer(const message& request)
    {
        std::string path = request.word(1);
        std::string query;
        const std::size_t mark = path.find('?');
        if (mark != std::string::npos)
        {
            query = path.substr(mark + 1);
            path.resize(mark);
        }
        const std::string prefix = "/v1/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0)
        {
            return json_reply(404, "{}");
        }
        std::string kind = path.substr(prefix.size());
        std::string name;
        bool status = false;
        std::size_t slash = kind.find('/');
        if (slash != std::string::npos)
        {
            name = kind.substr(slash + 1);
            kind.resize(slash);
            slash = name.find('/');
            status = slash != std::string::npos;
            name.resize(status ? slash : name.size());
        }
        if (request.word(0) != "GET")
        {
            return write(request, kind, name, status);
        }
        const std::string watch = query_value(query, "watch");
        return watch.empty()
                   ? list(kind, name)
                   : wait_for_events(kind, std::strtoull(watch.c_str(), 0, 10),
                         std::atoi(query_value(query, "waitMs").c_str()));
    }

    static std::string
    json_reply(int status, const std::string& body)
    {
        return http_reply_text(
            status, "Content-Type: application/json\r\n", body);
    }

    std::string
    list(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::string items;
        for (const auto& [key, o] : objects_[kind])
        {
            if (key == name)
            {
                return json_reply(200, text_of(o));
            }
            items += (items.empty() ? "" : ",") + text_of(o);
        }
        if (!name.empty())
        {
            return json_reply(404, "{}");
        }
        return json_reply(200, "{\"items\":[" + items +
                                   "],\"hasMore\":false,\"at\":" +
                                   std::to_string(revision_) + "}");
    }

    std::string
    wait_for_events(const std::string& kind, std::uint64_t after, int wait_ms)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const time_point until = clock::now() + milliseconds(wait_ms);
        while (true)
        {
            std::string events;
            for (const event& e : history_)
            {
                if (e.kind == kind && e.revision > after)
                {
                    events += (events.empty() ? "" : ",") + e.text;
                }
            }
            if (!events.empty() ||
                changed_.wait_until(lock, until) == std::cv_status::timeout)
            {
                return json_reply(200, "{\"events\":[" + events + "],\"at\":" +
                                           std::to_string(revision_) + "}");
            }
        }
    }

    std::string
    write(const message& request, const std::string& kind, std::string name,
        bool status)
    {
        using nlohmann::json;
        const json given = json::parse(request.body, nullptr, false);
        if (!given.is_object() || !given.contains("meta"))
        {
            return json_reply(400, "{}");
        }
        const bool create = request.word(0) == "POST";
        name = create ? given["meta"].value("name", std::string()) : name;
        const std::uint64_t expected =
            given["meta"].value("revision", std::uint64_t{0});
        std::unique_lock<std::mutex> lock(mutex_);
        const auto found = objects_[kind].find(name);
        const bool exists = found != objects_[kind].end();
        if (!create && !exists)
        {
            return json_reply(404, "{}");
        }
        if (exists &&
            (create || (expected != 0 && found->second.revision != expected)))
        {
            return json_reply(409, text_of(found->second));
        }
        object& o = objects_[kind][name];
        o.name = name;
        std::string& part = status ? o.status : o.spec;
        const std::string next =
            given.value(status ? "status" : "spec", json()).dump();
        if (next != part || !exists)
        {
            part = next;
            publish(kind, o, false);
        }
        const std::string text = text_of(o);
        lock.unlock();
        if (status && on_status)
        {
            on_status(kind, name, next);
        }
        return json_reply(create ? 201 : 200, text);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::vector<event> history_;
    std::uint64_t revision_ = 1;
    listener listener_;
};

/// A target: `serve` returns the bytes to send, and may wait. `late` belongs to
/// the connection: it is sent before the next answer on it.
class target
{
public:
    using handler =
        std::function<std::string(const message& request, std::string& late)>;

    target(std::string target_id, std::string target_service,
        std::string target_zone, std::string target_version, handler serve)
        : id(std::move(target_id)), service(std::move(target_service)),
          zone(std::move(target_zone)), version(std::move(target_version)),
          serve_(std::move(serve)), listener_([this](stream& s) { run(s); })
    {
    }

    std::string
    spec(const std::string& state, int slots) const
    {
        return nlohmann::json{{"service", service},
            {"address", listener_.address()}, {"zone", zone},
            {"version", version}, {"slots", slots}, {"state", state},
            {"warmupLeftMs", 0}, {"sequence", 1}, {"born", 1760000000000}}
            .dump();
    }

    /// Number of requests in progress.
    std::atomic<int> running{0};
    /// The process has exited: it answers nothing and closes connections.
    std::atomic<bool> gone{false};

    const std::string id;
    const std::string service;
    const std::string zone;
    const std::string version;

private:
    void
    run(stream& s)
    {
        std::string late;
        message request;
        while (s.read(request) && !gone)
        {
            if (request.word(1) == "/health")
            {
                if (!s.write(http_reply_text(
                        200, "X-Instance-Id: " + id + "\r\n", "")))
                {
                    return;
                }
                continue;
            }
            if (request.field("X-Expect-Instance") != id)
            {
                if (!s.write(http_reply_text(
                        421, "X-Instance-Id: " + id + "\r\n", "")))
                {
                    return;
                }
                continue;
            }
            const std::string due = std::move(late);
            late.clear();
            if (!due.empty() && !s.write(due))
            {
                return;
            }
            const std::string reply = serve_(request, late);
            if (gone || !s.write(reply))
            {
                return;
            }
        }
    }

    handler serve_;
    listener listener_;
};

/// Answer of a target that ran the request.
inline std::string
ran(const message& request, int status, const std::string& stamp,
    const std::string& body)
{
    return http_reply_text(status,
        "X-Request-Id: " + request.field("X-Request-Id") +
            "\r\nX-Response-Stamp: " + stamp + "\r\n",
        body);
}

/// The entry program on one VM, started with the command of the deploy file.
class entry_process
{
public:
    entry_process(std::string vm, std::string vm_zone, int number,
        const std::string& directory, std::string store_address)
        : id(std::move(vm)), zone(std::move(vm_zone)),
          settings_(directory + "/" + id + ".ini"),
          log_(directory + "/" + id + ".log"), pids_(directory + "/pids"),
          store_(std::move(store_address))
    {
        const int pid = ::getpid();
        ip_ = "127." + std::to_string(100 + pid % 100) + "." +
              std::to_string(pid / 100 % 250) + "." +
              std::to_string(number + 1);
    }

    ~entry_process()
    {
        kill_now();
    }

    std::string
    caller_address() const
    {
        return ip_ + ":8226";
    }

    std::string
    readiness_address() const
    {
        return ip_ + ":8227";
    }

    /// The template platform/entry.ini.in with the values of a small site.
    void
    start()
    {
        std::ofstream(settings_, std::ios::trunc)
            << "[vm]\nid = " << id << "\nzone = " << zone
            << "\n\n[listen]\ncaller = " << caller_address()
            << "\nreadiness = " << readiness_address() << "\nmetrics = " << ip_
            << ":9102\npeer = " << ip_
            << ":7740\n\n[store]\naddress = " << store_
            << "\n\n[extra_load]\nratio = 0.2\nslack = 56\nwindow_s = 10\n"
               "\n[target]\nleave_ms = 3000\n\n[rollout]\nshare = 0.1\n"
               "slack = 50\n\n[stop]\ngrace_s = 6\n";
        const std::string boot = "BRAMLEYMUX_BOOT=" + settings_;
        std::string path = "PATH=/usr/bin:/bin";
        std::string program = "target/bin/bramleymux_entry";
        char* argv[] = {program.data(), nullptr};
        std::string boot_copy = boot;
        char* envp[] = {boot_copy.data(), path.data(), nullptr};
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_addopen(
            &actions, 1, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (::posix_spawn(
                &pid_, program.c_str(), &actions, nullptr, argv, envp) != 0)
        {
            std::perror("posix_spawn");
            std::_Exit(2);
        }
        ::posix_spawn_file_actions_destroy(&actions);
        // For run.sh, should this program be ended.
        std::ofstream(pids_, std::ios::app) << pid_ << "\n";
    }

    void
    signal(int number)
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }

    /// Returns what ended the process by itself, or an empty string.
    std::string
    check()
    {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
        {
            return {};
        }
        pid_ = 0;
        return WIFSIGNALED(status)
                   ? "ended by signal " + std::to_string(WTERMSIG(status))
                   : "exited with " + std::to_string(WEXITSTATUS(status));
    }

    bool
    is_ready() const
    {
        const auto s = connect_to(readiness_address());
        message reply;
        return s && s->write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
               s->read(reply, clock::now() + seconds(1)) &&
               reply.status() == 200;
    }

    void
    kill_now()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    const std::string id;
    const std::string zone;

private:
    std::string settings_;
    std::string log_;
    std::string pids_;
    std::string store_;
    std::string ip_;
    pid_t pid_ = 0;
};

/// Returns whether all are ready within the time.
inline bool
wait_ready(
    const std::vector<std::unique_ptr<entry_process>>& vms, seconds longest)
{
    const time_point until = clock::now() + longest;
    for (const auto& vm : vms)
    {
        while (!vm->is_ready())
        {
            if (clock::now() > until)
            {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    return true;
}

struct answer
{
    int status = 0;    ///< 0: the connection ended; -1: no answer in time
    bool kept = false; ///< sent on a connection that had an answer before
    message reply;
};

/// A caller with one kept connection to a VM.
class caller
{
public:
    explicit caller(std::string address) : address_(std::move(address)) {}

    answer
    call(const std::string& method, const std::string& host,
        const std::string& path, const std::string& request_id, int deadline_ms,
        const std::string& body)
    {
        answer out;
        if (connection_ && connection_->ended())
        {
            connection_.reset();
        }
        if (!connection_)
        {
            connection_ = connect_to(address_);
            answered_ = 0;
        }
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                           "\r\nX-Request-Id: " + request_id +
                           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                           "\r\n";
        if (method == "POST")
        {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        const time_point until = clock::now() + milliseconds(deadline_ms);
        out.kept = answered_ > 0;
        if (!connection_ || !connection_->write(text + "\r\n" + body) ||
            !connection_->read(out.reply, until))
        {
            out.status = clock::now() >= until ? -1 : 0;
            connection_.reset();
            return out;
        }
        out.status = out.reply.status();
        ++answered_;
        if (out.reply.field("Connection") == "close")
        {
            connection_.reset();
        }
        return out;
    }

private:
    std::string address_;
    std::unique_ptr<stream> connection_;
    int answered_ = 0; ///< requests on the connection
};

inline nlohmann::json
service_rule(const std::string& name)
{
    return {{"name", name}, {"healthPath", "/health"}, {"maxConnections", 110},
        {"protocol", "h1"}, {"tls", false}, {"warmupS", 3.0},
        {"warmupPerS", 0.0}};
}

inline nlohmann::json
limits()
{
    return {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144},
        {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
}

/// A temporary folder for settings and logs, removed by run.sh.
inline std::string
work_directory()
{
    const char* given = std::getenv("REVIEW_DIR");
    if (given == nullptr)
    {
        std::fprintf(stderr, "REVIEW_DIR is not set\n");
        std::_Exit(2);
    }
    return given;
}

inline std::string
record_path()
{
    const char* given = std::getenv("REVIEW_RECORD");
    return given == nullptr ? "record.txt" : given;
}

/// Whether the case plays its disruption (TROUBLE=0: no).
inline bool
has_trouble()
{
    const char* given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

} // namespace review
