#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins and helpers of the cases of the second review: the platform's
/// store, one VM as a separate process, blocking sockets and the record.
namespace review
{

using json = nlohmann::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

/// Results of a case, as exit codes.
enum class verdict
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

[[noreturn]] inline void
give_up(const std::string& reason)
{
    std::cerr << "could not run: " << reason << std::endl;
    // Threads of the stand-ins may run; child processes end with this one.
    std::_Exit(static_cast<int>(verdict::could_not_run));
}

/// Called in a child process: it ends when the case ends, however that is.
inline void
end_with_parent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

inline bool
has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Lines with the time since the start, shared by threads and by processes that
/// were forked after it was opened.
class record_file
{
public:
    explicit record_file(const std::string& path)
        : file_(::open(
              path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644)),
          start_(steady::now())
    {
        if (file_ < 0)
        {
            give_up("cannot write " + path);
        }
    }

    void
    line(const std::string& text)
    {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
            steady::now() - start_);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%7.3f ",
            static_cast<double>(at.count()) / 1000.0);
        const std::string out = stamp + text + "\n";
        static_cast<void>(!::write(file_, out.data(), out.size()));
    }

private:
    int file_;
    steady::time_point start_;
};

inline sockaddr_in
address_of(const std::string& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

/// Options of a listening socket; 0 leaves the system's default.
struct listen_options
{
    int receive_buffer = 0;
    int segment_bytes = 0; ///< as on a link that is no loopback
};

struct listening_socket
{
    int file = -1;
    int port = 0;
};

/// Listens on a free port.
inline listening_socket
listen_on(const std::string& ip, const listen_options& options = {})
{
    listening_socket out;
    out.file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto set = [&](int level, int name, int value)
    {
        if (value > 0)
        {
            ::setsockopt(out.file, level, name, &value, sizeof value);
        }
    };
    set(SOL_SOCKET, SO_RCVBUF, options.receive_buffer);
    set(IPPROTO_TCP, TCP_MAXSEG, options.segment_bytes);
    sockaddr_in address = address_of(ip, 0);
    socklen_t size = sizeof address;
    if (::bind(out.file, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(out.file, 128) != 0 ||
        ::getsockname(out.file, reinterpret_cast<sockaddr*>(&address), &size) !=
            0)
    {
        give_up("cannot listen on " + ip);
    }
    out.port = ntohs(address.sin_port);
    return out;
}

/// Returns a port that was free a moment ago.
inline int
free_port(const std::string& ip)
{
    const listening_socket probe = listen_on(ip);
    ::close(probe.file);
    return probe.port;
}

/// Connects; returns -1 on failure. `receive_buffer` 0 = the default.
inline int
connect_to(const std::string& ip, int port, int receive_buffer = 0)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
    {
        ::setsockopt(file, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
            sizeof receive_buffer);
    }
    const sockaddr_in address = address_of(ip, port);
    if (::connect(file, reinterpret_cast<const sockaddr*>(&address),
            sizeof address) != 0)
    {
        ::close(file);
        return -1;
    }
    const int on = 1;
    ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return file;
}

inline bool
send_all(int file, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t n = ::send(
            file, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// How reading a message ended.
enum class read_end
{
    complete,
    closed,
    reset,
    timed_out
};

inline const char*
name_of(read_end end)
{
    switch (end)
    {
    case read_end::complete:
        return "complete";
    case read_end::closed:
        return "closed";
    case read_end::reset:
        return "reset";
    default:
        return "timed out";
    }
}

/// A message with a length, read from a blocking socket.
struct message
{
    std::string start; ///< first line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    read_end end = read_end::closed;

    std::string
    field(const std::string& name) const
    {
        for (const auto& [key, value] : fields)
        {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0)
            {
                return value;
            }
        }
        return {};
    }

    int
    status() const
    {
        return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
    }

    /// Method and path of a request.
    std::pair<std::string, std::string>
    target() const
    {
        std::istringstream in(start);
        std::string method;
        std::string path;
        in >> method >> path;
        return {method, path};
    }
};

/// Reads the messages of one connection. Bytes after a message are kept for the
/// next one.
class message_reader
{
public:
    explicit message_reader(int file) : file_(file) {}

    /// Reads more bytes until the time limit.
    read_end
    more(steady::time_point until)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - steady::now());
        pollfd wait{file_, POLLIN, 0};
        if (left.count() <= 0 ||
            ::poll(&wait, 1, static_cast<int>(left.count())) <= 0)
        {
            return read_end::timed_out;
        }
        char buffer[16384];
        const ssize_t n = ::recv(file_, buffer, sizeof buffer, 0);
        if (n > 0)
        {
            input_.append(buffer, static_cast<std::size_t>(n));
            return read_end::complete;
        }
        return n == 0 ? read_end::closed : read_end::reset;
    }

    /// Reads the start line and the fields.
    message
    head(steady::time_point until)
    {
        message out;
        std::size_t end = input_.find("\r\n\r\n");
        while (end == std::string::npos)
        {
            const read_end result = more(until);
            if (result != read_end::complete)
            {
                out.end = result;
                return out;
            }
            end = input_.find("\r\n\r\n");
        }
        std::istringstream lines(input_.substr(0, end));
        input_.erase(0, end + 4);
        std::string line;
        while (std::getline(lines, line))
        {
            if (!line.empty() && line.back() == '\r')
            {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (out.start.empty())
            {
                out.start = line;
            }
            else if (colon != std::string::npos)
            {
                const std::size_t value =
                    line.find_first_not_of(' ', colon + 1);
                out.fields.emplace_back(line.substr(0, colon),
                    value == std::string::npos ? "" : line.substr(value));
            }
        }
        out.end = read_end::complete;
        return out;
    }

    /// Reads the body that the fields announce; without a length there is none.
    void
    body(message& out, steady::time_point until)
    {
        const auto size = static_cast<std::size_t>(
            std::atoll(out.field("Content-Length").c_str()));
        while (input_.size() < size)
        {
            const read_end result = more(until);
            if (result != read_end::complete)
            {
                out.end = result;
                out.body = input_;
                input_.clear();
                return;
            }
        }
        out.body = input_.substr(0, size);
        input_.erase(0, size);
    }

    message
    next(steady::duration within)
    {
        const auto until = steady::now() + within;
        message out = head(until);
        if (out.end == read_end::complete)
        {
            body(out, until);
        }
        return out;
    }

private:
    int file_;
    std::string input_;
};

/// Serves each connection of a listening socket in a thread of its own.
inline void
serve(listening_socket socket, std::function<void(int)> connection)
{
    std::thread(
        [socket, connection]
        {
            while (true)
            {
                const int file =
                    ::accept4(socket.file, nullptr, nullptr, SOCK_CLOEXEC);
                if (file < 0)
                {
                    return;
                }
                const int on = 1;
                ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread(
                    [file, connection]
                    {
                        connection(file);
                        ::close(file);
                    })
                    .detach();
            }
        })
        .detach();
}

/// The platform's store, as PROTOCOL.md describes it: lists, watches, creation,
/// replacement and removal of objects with one revision counter. It loses
/// nothing, is never slow and drops no history.
class store
{
public:
    explicit store(const std::string& ip) : socket_(listen_on(ip)), ip_(ip)
    {
        serve(socket_, [this](int file) { serve_connection(file); });
    }

    std::string
    address() const
    {
        return ip_ + ":" + std::to_string(socket_.port);
    }

    /// Writes an object as the operator or a server does.
    std::uint64_t
    put(const std::string& kind, const std::string& name, const json& spec)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        json& object = objects_[{kind, name}];
        if (object.is_null())
        {
            object = new_object(name);
        }
        object["spec"] = spec;
        return publish(kind, object, false);
    }

    void
    remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = objects_.find({kind, name});
        if (found != objects_.end())
        {
            json object = found->second;
            objects_.erase(found);
            publish(kind, object, true);
        }
    }

private:
    struct change
    {
        std::uint64_t revision;
        std::string kind;
        json event;
    };

    json
    new_object(const std::string& name) const
    {
        return {
            {"meta",
                {{"name", name}, {"revision", 0}, {"createdRev", revision_ + 1},
                    {"finalizers", json::array()}, {"deletionPending", false}}},
            {"spec", nullptr}, {"status", nullptr}};
    }

    /// The caller holds the lock.
    std::uint64_t
    publish(const std::string& kind, json& object, bool deleted)
    {
        ++revision_;
        if (!deleted)
        {
            object["meta"]["revision"] = revision_;
        }
        history_.push_back(
            {revision_, kind, {{"deleted", deleted}, {"object", object}}});
        changed_.notify_all();
        return revision_;
    }

    static std::string
    query_value(const std::string& query, const std::string& name)
    {
        std::istringstream in(query);
        for (std::string item; std::getline(in, item, '&');)
        {
            if (item.rfind(name + "=", 0) == 0)
            {
                return item.substr(name.size() + 1);
            }
        }
        return {};
    }

    json
    list(const std::string& kind)
    {
        json items = json::array();
        for (const auto& [key, object] : objects_)
        {
            if (key.first == kind)
            {
                items.push_back(object);
            }
        }
        return {{"items", items}, {"hasMore", false}, {"at", revision_}};
    }

    json
    watch(std::unique_lock<std::mutex>& lock, const std::string& kind,
        std::uint64_t after, std::chrono::milliseconds wait)
    {
        const auto until = steady::now() + wait;
        while (true)
        {
            json events = json::array();
            for (const change& c : history_)
            {
                if (c.revision > after && c.kind == kind)
                {
                    events.push_back(c.event);
                }
            }
            if (!events.empty() || steady::now() >= until)
            {
                return {{"events", events}, {"at", revision_}};
            }
            changed_.wait_until(lock, until);
        }
    }

    std::pair<int, json>
    handle(const message& request)
    {
        const auto [method, target] = request.target();
        const std::size_t mark = target.find('?');
        const std::string query =
            mark == std::string::npos ? "" : target.substr(mark + 1);
        std::vector<std::string> words;
        std::istringstream path(target.substr(0, mark));
        for (std::string word; std::getline(path, word, '/');)
        {
            words.push_back(word);
        }
        // "", "v1", "objects", kind, name, "status"
        if (words.size() < 4)
        {
            return {404, nullptr};
        }
        const std::string kind = words[3];
        std::unique_lock<std::mutex> lock(mutex_);
        if (method == "GET" && words.size() == 4)
        {
            const std::string after = query_value(query, "watch");
            return {200, after.empty()
                             ? list(kind)
                             : watch(lock, kind, std::stoull(after),
                                   std::chrono::milliseconds(std::atoi(
                                       query_value(query, "waitMs").c_str())))};
        }
        const json body =
            request.body.empty() ? json() : json::parse(request.body);
        const std::string name = words.size() > 4
                                     ? words[4]
                                     : body["meta"]["name"].get<std::string>();
        const auto found = objects_.find({kind, name});
        if (method == "POST")
        {
            if (found != objects_.end())
            {
                return {409, found->second};
            }
            json& object = objects_[{kind, name}];
            object = new_object(name);
            object["spec"] = body["spec"];
            publish(kind, object, false);
            return {200, object};
        }
        if (found == objects_.end())
        {
            return {404, nullptr};
        }
        json& object = found->second;
        if (method == "PUT")
        {
            const json meta = body.value("meta", json::object());
            if (meta.contains("revision") &&
                meta["revision"] != object["meta"]["revision"])
            {
                return {409, object};
            }
            const char* part = words.size() > 5 ? "status" : "spec";
            if (object[part] != body[part])
            {
                object[part] = body[part];
                publish(kind, object, false);
            }
        }
        return {200, object};
    }

    void
    serve_connection(int file)
    {
        message_reader reader(file);
        while (true)
        {
            const message request = reader.next(std::chrono::hours(1));
            if (request.end != read_end::complete)
            {
                return;
            }
            const auto [status, body] = handle(request);
            const std::string text = body.dump();
            const std::string reply =
                "HTTP/1.1 " + std::to_string(status) +
                " Status\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(text.size()) + "\r\n\r\n" + text;
            if (!send_all(file, reply))
            {
                return;
            }
        }
    }

    listening_socket socket_;
    std::string ip_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::map<std::pair<std::string, std::string>, json> objects_;
    std::vector<change> history_;
};

/// Spec of a server's registration.
inline json
server_spec(const std::string& service, const std::string& address,
    const std::string& zone, int slots)
{
    return {{"service", service}, {"address", address}, {"zone", zone},
        {"version", "v1"}, {"slots", slots}, {"state", "ready"},
        {"warmupLeftMs", 0}, {"sequence", 1}, {"born", 1796600000000}};
}

/// Limits of the desired state, as in the site files.
inline json
caller_limits()
{
    return {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144},
        {"headerTimeoutMs", 5000}, {"idleTimeoutMs", 10000}};
}

/// One VM, started with the command of the deploy file. Its settings are the
/// project's template, filled in as DEPLOY.md says.
class vm
{
public:
    vm(const std::string& folder, const std::string& id, const std::string& ip,
        const std::string& zone, const std::string& store_address)
        : ip_(ip), settings_(folder + "/" + id + ".ini"),
          output_(folder + "/" + id + ".log")
    {
        port_ = free_port(ip);
        ready_port_ = free_port(ip);
        fields_ = {{"node", id}, {"zone", zone}, {"ip", ip},
            {"listenAddrs.front", ip + ":" + std::to_string(port_)},
            {"listenAddrs.readinessAddr",
                ip + ":" + std::to_string(ready_port_)},
            {"portRange.0", std::to_string(free_port(ip))},
            {"platform.address", store_address},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retryBudgetSlack", "56"}, {"bounds.budgetWindowS", "10"},
            {"bounds.drainMs", "3000"}, {"bounds.canaryShare", "0.1"},
            {"bounds.canarySlack", "50"}, {"bounds.graceS", "6"},
            {"limits.memoryMb", "260"}, {"limits.maxFds", "4100"}};
    }

    ~vm()
    {
        kill();
    }

    vm(const vm&) = delete;
    vm&
    operator=(const vm&) = delete;

    void
    set(const std::string& field, const std::string& value)
    {
        fields_[field] = value;
    }

    void
    start()
    {
        write_settings();
        const std::string program = command();
        process_ = ::fork();
        if (process_ == 0)
        {
            end_with_parent();
            const int log =
                ::open(output_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::setenv("BRAMLEYMUX_BOOT", settings_.c_str(), 1);
            ::execl(program.c_str(), program.c_str(), nullptr);
            ::_exit(127);
        }
    }

    /// Waits until the VM answers the platform's question with 200.
    bool
    wait_ready(steady::duration within) const
    {
        const auto until = steady::now() + within;
        while (steady::now() < until)
        {
            if (is_ready())
            {
                return true;
            }
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

    bool
    is_ready() const
    {
        const int file = connect_to(ip_, ready_port_);
        if (file < 0)
        {
            return false;
        }
        send_all(file, "GET /v1/ready HTTP/1.1\r\nHost: vm\r\n\r\n");
        const int status = message_reader(file).next(1s).status();
        ::close(file);
        return status == 200;
    }

    bool
    is_running() const
    {
        return process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == 0;
    }

    void
    signal(int number) const
    {
        if (process_ > 0)
        {
            ::kill(process_, number);
        }
    }

    void
    kill()
    {
        if (process_ > 0)
        {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }

    int
    connect(int receive_buffer = 0) const
    {
        return connect_to(ip_, port_, receive_buffer);
    }

private:
    /// Returns the program that the deploy file names.
    static std::string
    command()
    {
        std::ifstream file("deploy/system.toml");
        for (std::string line; std::getline(file, line);)
        {
            if (line.rfind("run = \"", 0) == 0)
            {
                const std::size_t from = line.find('"') + 1;
                return line.substr(from, line.find('"', from) - from);
            }
        }
        give_up("deploy/system.toml names no command");
    }

    void
    write_settings() const
    {
        std::ifstream file("platform/entry.ini.in");
        if (!file)
        {
            give_up("platform/entry.ini.in cannot be read");
        }
        std::stringstream text;
        text << file.rdbuf();
        std::string in = text.str();
        std::string out;
        for (std::size_t at = 0; at < in.size();)
        {
            const std::size_t open = in.find("{{", at);
            if (open == std::string::npos)
            {
                out += in.substr(at);
                break;
            }
            const std::size_t close = in.find("}}", open);
            out += in.substr(at, open - at);
            const auto found =
                fields_.find(in.substr(open + 2, close - open - 2));
            out += found == fields_.end() ? "" : found->second;
            at = close + 2;
        }
        std::ofstream(settings_) << out;
    }

    std::string ip_;
    std::string settings_;
    std::string output_;
    int port_ = 0;
    int ready_port_ = 0;
    std::map<std::string, std::string> fields_;
    pid_t process_ = -1;
};

/// Returns the temporary folder that run_case.sh makes and removes.
inline std::string
temporary_folder()
{
    const char* path = std::getenv("REVIEW_FOLDER");
    if (path == nullptr)
    {
        give_up("start the case by its run.sh");
    }
    return path;
}

} // namespace review
