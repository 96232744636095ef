#pragma once

// Stand-ins for the cases of review/11 to review/15: the platform's store,
// searchers and requesters over blocking sockets, one thread a connection, and
// the entry program as a process of its own.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
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
#include <sstream>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace review
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int cannot_run = 2;

inline double
seconds_since(steady::time_point start)
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

inline void
sleep_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Lines of what was sent, answered and run, with the time since the start.
class record_file
{
public:
    explicit record_file(const std::string& path) : out_(path, std::ios::trunc)
    {
    }

    void
    write(const std::string& line)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f ", seconds_since(start_));
        out_ << stamp << line << "\n";
        out_.flush();
    }

    steady::time_point
    start() const
    {
        return start_;
    }

private:
    steady::time_point start_ = steady::now();
    std::mutex mutex_;
    std::ofstream out_;
};

/// One HTTP/1.1 message. Field names are compared without regard to case.
struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string
    field(const std::string& name) const
    {
        for (const auto& [n, v] : fields)
        {
            if (::strcasecmp(n.c_str(), name.c_str()) == 0)
            {
                return v;
            }
        }
        return {};
    }

    /// The second word of a request line.
    std::string
    target() const
    {
        const auto from = first_line.find(' ') + 1;
        return first_line.substr(from, first_line.find(' ', from) - from);
    }

    std::string
    method() const
    {
        return first_line.substr(0, first_line.find(' '));
    }

    int
    status() const
    {
        return std::atoi(first_line.substr(first_line.find(' ') + 1).c_str());
    }
};

/// A connected socket. Closed by its destructor.
class connection
{
public:
    explicit connection(int fd) : fd_(fd)
    {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    connection(const connection&) = delete;
    connection&
    operator=(const connection&) = delete;

    ~connection()
    {
        close();
    }

    int
    fd() const
    {
        return fd_;
    }

    void
    close()
    {
        if (fd_ >= 0)
        {
            ::close(fd_);
            fd_ = -1;
        }
    }

    /// Closes with a reset.
    void
    reset()
    {
        const linger hard{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }

    bool
    send(const std::string& bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const ssize_t n = ::send(
                fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Waits for input, or the end of the stream. Returns false on a timeout.
    bool
    wait_input(int timeout_ms) const
    {
        if (!buffer_.empty())
        {
            return true;
        }
        pollfd p{fd_, POLLIN, 0};
        return ::poll(&p, 1, timeout_ms) > 0;
    }

    /// Appends what has arrived. Returns false at the end of the stream.
    bool
    fill()
    {
        char bytes[16384];
        const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    /// Reads the header of the next message only.
    bool
    read_header(message& out, int timeout_ms)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        {
            pollfd p{fd_, POLLIN, 0};
            if (::poll(&p, 1, timeout_ms) <= 0 || !fill())
            {
                return false;
            }
        }
        std::istringstream in(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        out = {};
        std::getline(in, out.first_line);
        trim(out.first_line);
        for (std::string line; std::getline(in, line);)
        {
            trim(line);
            const auto colon = line.find(':');
            if (colon != std::string::npos)
            {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                out.fields.emplace_back(line.substr(0, colon), value);
            }
        }
        return true;
    }

    /// Reads a whole message whose body has a length.
    bool
    read(message& out, int timeout_ms)
    {
        if (!read_header(out, timeout_ms))
        {
            return false;
        }
        const std::size_t length =
            std::strtoul(out.field("Content-Length").c_str(), nullptr, 10);
        while (buffer_.size() < length)
        {
            pollfd p{fd_, POLLIN, 0};
            if (::poll(&p, 1, timeout_ms) <= 0 || !fill())
            {
                return false;
            }
        }
        out.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }

    std::string&
    buffer()
    {
        return buffer_;
    }

private:
    static void
    trim(std::string& line)
    {
        if (!line.empty() && line.back() == '\r')
        {
            line.pop_back();
        }
    }

    int fd_;
    std::string buffer_;
};

using connection_ptr = std::shared_ptr<connection>;

inline sockaddr_in
loopback(const std::string& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

/// Returns null if the connection cannot be opened.
inline connection_ptr
dial(const std::string& ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
    {
        return nullptr;
    }
    const sockaddr_in to = loopback(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
    {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<connection>(fd);
}

/// Returns a free port of 127.0.0.1.
inline int
free_port()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback("127.0.0.1", 0);
    socklen_t size = sizeof address;
    ::bind(fd, reinterpret_cast<const sockaddr*>(&address), size);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

/// Accepts connections on a free port and serves each on a thread.
class listener
{
public:
    using handler = std::function<void(const connection_ptr&)>;

    explicit listener(handler serve) : serve_(std::move(serve))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback("127.0.0.1", 0);
        socklen_t size = sizeof address;
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(fd_, 512) != 0)
        {
            std::perror("listen");
            std::_Exit(cannot_run);
        }
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int
    port() const
    {
        return port_;
    }

    std::string
    address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    void
    accept()
    {
        while (true)
        {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                sleep_ms(5);
                continue;
            }
            const auto c = std::make_shared<connection>(fd);
            std::thread([this, c] { serve_(c); }).detach();
        }
    }

    handler serve_;
    int fd_ = -1;
    int port_ = 0;
};

inline std::string
http_reply(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: objects with revisions, lists, watches and conditional
/// writes.
class store
{
public:
    store() : listener_([this](const connection_ptr& c) { serve(c); }) {}

    std::string
    address() const
    {
        return listener_.address();
    }

    /// Writes as the operator or a searcher does.
    void
    put(const std::string& kind, const std::string& name, const json& spec)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        json object = objects_.count({kind, name}) != 0 ? objects_[{kind, name}]
                                                        : fresh(name);
        object["spec"] = spec;
        commit(kind, object, false);
    }

    void
    remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = objects_.find({kind, name});
        if (found != objects_.end())
        {
            const json object = found->second;
            objects_.erase(found);
            commit(kind, object, true);
        }
    }

    /// Sets how old the data of reads with `serializable=1` are.
    void
    set_stale_by(double seconds)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stale_by_s_ = seconds;
    }

    std::size_t
    count(const std::string& kind)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::size_t out = 0;
        for (const auto& [k, object] : objects_)
        {
            out += k.first == kind ? 1 : 0;
        }
        return out;
    }

    json
    get(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = objects_.find({kind, name});
        return found == objects_.end() ? json() : found->second;
    }

private:
    struct event
    {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool deleted;
        steady::time_point at;
    };

    json
    fresh(const std::string& name)
    {
        return {
            {"meta",
                {{"name", name}, {"revision", 0}, {"createdRev", revision_ + 1},
                    {"finalizers", json::array()}, {"deletionPending", false}}},
            {"spec", nullptr}, {"status", nullptr}};
    }

    json
    commit(const std::string& kind, json object, bool deleted)
    {
        object["meta"]["revision"] = ++revision_;
        const std::string name = object["meta"]["name"];
        if (!deleted)
        {
            objects_[{kind, name}] = object;
        }
        history_.push_back({revision_, kind, object, deleted, steady::now()});
        changed_.notify_all();
        return object;
    }

    void
    serve(const connection_ptr& c)
    {
        message request;
        while (c->read(request, 600000))
        {
            if (!c->send(answer(request)))
            {
                return;
            }
        }
    }

    static std::string
    query(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        return at == std::string::npos
                   ? std::string()
                   : target.substr(at + name.size() + 1,
                         target.find('&', at) == std::string::npos
                             ? std::string::npos
                             : target.find('&', at) - at - name.size() - 1);
    }

    static std::string
    reply(int status, const json& body)
    {
        return http_reply(
            status, "Content-Type: application/json\r\n", body.dump());
    }

    std::string
    answer(const message& request)
    {
        const std::string target = request.target();
        const std::string prefix = "/v1/objects/";
        std::string path = target.substr(0, target.find('?'));
        if (path.compare(0, prefix.size(), prefix) != 0)
        {
            return reply(404, json::object());
        }
        path.erase(0, prefix.size());
        std::vector<std::string> parts;
        std::istringstream in(path);
        for (std::string part; std::getline(in, part, '/');)
        {
            parts.push_back(part);
        }
        std::unique_lock<std::mutex> lock(mutex_);
        if (request.method() == "GET")
        {
            return read(lock, target, parts);
        }
        return write(request, parts);
    }

    std::string
    read(std::unique_lock<std::mutex>& lock, const std::string& target,
        const std::vector<std::string>& parts)
    {
        if (parts.size() > 1)
        {
            const auto found = objects_.find({parts[0], parts[1]});
            return found == objects_.end() ? reply(404, json::object())
                                           : reply(200, found->second);
        }
        const std::string watch = query(target, "watch");
        if (!watch.empty())
        {
            return await(lock, parts[0], std::stoull(watch),
                std::stoi("0" + query(target, "waitMs")));
        }
        return query(target, "serializable") == "1" && stale_by_s_ > 0
                   ? list_of_the_past(target, parts[0])
                   : list(objects_, revision_, target, parts[0]);
    }

    using object_map = std::map<std::pair<std::string, std::string>, json>;

    static std::string
    list(const object_map& objects, std::uint64_t revision,
        const std::string& target, const std::string& kind)
    {
        json items = json::array();
        for (const auto& [k, object] : objects)
        {
            if (k.first == kind && k.second > query(target, "after"))
            {
                items.push_back(object);
            }
        }
        return reply(
            200, {{"items", items}, {"hasMore", false}, {"at", revision}});
    }

    std::string
    list_of_the_past(const std::string& target, const std::string& kind) const
    {
        object_map objects;
        std::uint64_t revision = 1;
        for (const event& e : history_)
        {
            if (seconds_since(e.at) < stale_by_s_)
            {
                break;
            }
            const std::string name = e.object["meta"]["name"];
            objects.erase({e.kind, name});
            if (!e.deleted)
            {
                objects[{e.kind, name}] = e.object;
            }
            revision = e.revision;
        }
        return list(objects, revision, target, kind);
    }

    std::string
    await(std::unique_lock<std::mutex>& lock, const std::string& kind,
        std::uint64_t after, int wait_ms)
    {
        const auto until = steady::now() + std::chrono::milliseconds(wait_ms);
        while (true)
        {
            json events = json::array();
            for (const event& e : history_)
            {
                if (e.kind == kind && e.revision > after)
                {
                    events.push_back(
                        {{"object", e.object}, {"deleted", e.deleted}});
                }
            }
            if (!events.empty() || steady::now() >= until)
            {
                return reply(200, {{"events", events}, {"at", revision_}});
            }
            changed_.wait_until(lock, until);
        }
    }

    std::string
    write(const message& request, const std::vector<std::string>& parts)
    {
        const json body = json::parse(request.body, nullptr, false);
        if (request.method() == "POST")
        {
            const std::string name = body["meta"]["name"];
            if (objects_.count({parts[0], name}) != 0)
            {
                return reply(409, objects_[{parts[0], name}]);
            }
            json object = fresh(name);
            object["spec"] = body.value("spec", json());
            return reply(200, commit(parts[0], object, false));
        }
        const auto found = objects_.find({parts[0], parts.at(1)});
        if (found == objects_.end())
        {
            return reply(404, json::object());
        }
        json object = found->second;
        if (request.method() == "DELETE")
        {
            objects_.erase(found);
            return reply(200, commit(parts[0], object, true));
        }
        const json meta = body.value("meta", json::object());
        if (meta.contains("revision") &&
            meta["revision"] != object["meta"]["revision"])
        {
            return reply(409, object);
        }
        const char* part = parts.size() > 2 ? "status" : "spec";
        if (object[part] == body.value(part, json()))
        {
            return reply(200, object);
        }
        object[part] = body.value(part, json());
        return reply(200, commit(parts[0], object, false));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::pair<std::string, std::string>, json> objects_;
    std::vector<event> history_;
    double stale_by_s_ = 0;
    listener listener_;
};

/// Entry of a searcher in the store.
inline json
searcher_entry(const std::string& service, const std::string& address,
    int slots, const std::string& zone = "rennes-a")
{
    return {{"service", service}, {"address", address}, {"zone", zone},
        {"version", "v1"}, {"slots", slots}, {"state", "ready"},
        {"warmupLeftMs", 0}, {"sequence", 1}, {"born", 1700000000000}};
}

/// Limits of requesters as the installations of the pages have them.
inline json
page_limits()
{
    return {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144},
        {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
}

inline json
service_entry(const std::string& name, int connections)
{
    return {{"name", name}, {"healthPath", "/health"},
        {"maxConnections", connections}, {"protocol", "h1"}, {"tls", false},
        {"warmupS", 3.0}, {"warmupPerS", 0.0}};
}

/// The entry program, started as the deploy file says: its settings are the
/// template of the deploy file, filled in.
class entry_process
{
public:
    /// `root` is the repository. `fields` replaces fields of the platform.
    entry_process(const std::string& root, const std::string& folder,
        const std::string& store, std::map<std::string, std::string> fields)
        : root_(root)
    {
        port_ = free_port();
        ready_port_ = free_port();
        fields_ = {{"node", "front-rennes-a-1"}, {"zone", "rennes-a"},
            {"ip", "127.0.0.1"},
            {"listenAddrs.front", "127.0.0.1:" + std::to_string(port_)},
            {"listenAddrs.readinessAddr",
                "127.0.0.1:" + std::to_string(ready_port_)},
            {"portRange.0", std::to_string(free_port())},
            {"platform.address", store}, {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retryBudgetSlack", "56"}, {"bounds.budgetWindowS", "10"},
            {"bounds.drainMs", "3000"}, {"bounds.canaryShare", "0.1"},
            {"bounds.canarySlack", "50"}, {"bounds.graceS", "6"},
            {"limits.memoryMb", "260"}, {"limits.maxFds", "4100"}};
        for (const auto& [name, value] : fields)
        {
            fields_[name] = value;
        }
        settings_ = folder + "/" + fields_["node"] + ".ini";
        log_ = folder + "/" + fields_["node"] + ".log";
        write_settings();
        start();
    }

    ~entry_process()
    {
        end();
    }

    void
    start()
    {
        ended_ = false;
        const std::string program = root_ + "/target/bin/bramleymux_entry";
        pid_ = ::fork();
        if (pid_ == 0)
        {
            // The program ends with the case, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("BRAMLEYMUX_BOOT", settings_.c_str(), 1);
            if (std::freopen(log_.c_str(), "a", stdout) == nullptr ||
                ::dup2(1, 2) < 0 || ::chdir(root_.c_str()) != 0)
            {
                ::_exit(127);
            }
            const rlim_t files = std::stoul(fields_["limits.maxFds"]);
            const rlimit limit{files, files};
            ::setrlimit(RLIMIT_NOFILE, &limit);
            ::execl(
                program.c_str(), program.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    void
    signal(int number) const
    {
        ::kill(pid_, number);
    }

    bool
    has_ended()
    {
        ended_ = ended_ || ::waitpid(pid_, &status_, WNOHANG) == pid_;
        return ended_;
    }

    void
    end()
    {
        if (!has_ended())
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status_, 0);
            ended_ = true;
        }
    }

    int
    port() const
    {
        return port_;
    }

    /// Asks `GET /v1/ready` until it is answered 200.
    bool
    wait_ready(int timeout_ms)
    {
        const auto start = steady::now();
        while (seconds_since(start) * 1000 < timeout_ms)
        {
            const auto c = dial("127.0.0.1", ready_port_);
            message reply;
            if (c && c->send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                c->read(reply, 1000) && reply.status() == 200)
            {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    /// Returns a line of /proc/PID/status in MB.
    double
    memory_mb(const std::string& name) const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(in, line);)
        {
            if (line.compare(0, name.size(), name) == 0)
            {
                return std::atof(line.c_str() + name.size() + 1) / 1024;
            }
        }
        return 0;
    }

    void
    set_field(const std::string& name, const std::string& value)
    {
        fields_[name] = value;
        write_settings();
    }

private:
    void
    write_settings()
    {
        std::ifstream in(root_ + "/platform/entry.ini.in");
        std::stringstream text;
        text << in.rdbuf();
        std::string out = text.str();
        for (std::size_t at = 0;
             (at = out.find("{{", at)) != std::string::npos;)
        {
            const std::size_t end = out.find("}}", at);
            const auto found = fields_.find(out.substr(at + 2, end - at - 2));
            out.replace(at, end + 2 - at,
                found == fields_.end() ? std::string() : found->second);
        }
        std::ofstream(settings_, std::ios::trunc) << out;
    }

    std::string root_;
    std::string settings_;
    std::string log_;
    std::map<std::string, std::string> fields_;
    int port_ = 0;
    int ready_port_ = 0;
    pid_t pid_ = 0;
    int status_ = 0;
    bool ended_ = false;
};

} // namespace review
