#include "store.hpp"

#include <cstdlib>

namespace bramleymux::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

constexpr auto tick_period = 20ms;
constexpr std::string_view objects_path = "/v1/objects/";

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_bad = 400;
constexpr int status_missing = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;

/// Returns a number of the query string, or 0.
std::uint64_t
query_number(const std::string& query, const std::string& name)
{
    const std::size_t at = ("&" + query).find("&" + name + "=");
    return at == std::string::npos
               ? 0
               : std::strtoull(
                     query.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

/// A call's path, split.
struct stand_in_store::call
{
    explicit call(const parsed_request& request) : method(request.method)
    {
        std::string path = request.path;
        const std::size_t mark = path.find('?');
        if (mark != std::string::npos)
        {
            query = path.substr(mark + 1);
            path.resize(mark);
        }
        known = path.compare(0, objects_path.size(), objects_path) == 0;
        kind = path.substr(std::min(path.size(), objects_path.size()));
        name = split(kind);
        part = split(name);
    }

    /// Cuts `text` at its first slash and returns what follows it.
    static std::string
    split(std::string& text)
    {
        const std::size_t slash = text.find('/');
        if (slash == std::string::npos)
        {
            return {};
        }
        std::string rest = text.substr(slash + 1);
        text.resize(slash);
        return rest;
    }

    std::string method;
    std::string kind;
    std::string name;
    std::string part; ///< "status" or empty
    std::string query;
    bool known = false;
};

stand_in_store::stand_in_store(asio::io_context& loop, std::size_t paths)
    : loop_(loop), paths_(paths), timer_(loop)
{
    for (std::size_t i = 0; i < paths; ++i)
    {
        paths_[i].acceptor = std::make_unique<tcp::acceptor>(
            loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        accept(i);
    }
    tick();
}

std::string
stand_in_store::address(std::size_t path) const
{
    return "127.0.0.1:" +
           std::to_string(paths_[path].acceptor->local_endpoint().port());
}

void
stand_in_store::set_cut(std::size_t path, bool cut)
{
    paths_[path].cut = cut;
    watches_.remove_if(
        [&](const waiting_watch& w) { return cut && w.path == path; });
}

void
stand_in_store::save()
{
    saved_ = {revision_, objects_, history_};
}

void
stand_in_store::restore()
{
    ++era_;
    revision_ = saved_.revision;
    objects_ = saved_.objects;
    history_ = saved_.history;
    answer_watches();
}

void
stand_in_store::set_refusing(bool refusing)
{
    refusing_ = refusing;
}

bool
stand_in_store::has(const std::string& kind, const std::string& name) const
{
    return objects_.count({kind, name}) != 0;
}

http_reply
stand_in_store::reply_with(int status, const json& body) const
{
    http_reply out;
    out.status = status;
    out.fields.push_back({"Content-Type", "application/json"});
    if (era_ > 0)
    {
        out.fields.push_back({"Store-Era", std::to_string(era_)});
    }
    out.body = body.dump();
    for (const auto& [mark, text] : texts_)
    {
        const std::string quoted = '"' + mark + '"';
        for (std::size_t at = out.body.find(quoted); at != std::string::npos;
             at = out.body.find(quoted, at + text.size()))
        {
            out.body.replace(at, quoted.size(), text);
        }
    }
    return out;
}

void
stand_in_store::accept(std::size_t path)
{
    paths_[path].acceptor->async_accept(
        [this, path](boost::system::error_code error, tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            const auto on_request =
                [this, path](parsed_request&& request, const connection_ptr& c)
            { serve(request, c, path); };
            const auto on_fault = [this](input_fault)
            { return reply_with(status_bad, json::object()); };
            std::make_shared<caller_connection>(std::move(socket),
                caller_limits{},
                connection_handlers{
                    on_request, on_fault, [](const connection_end&) {}})
                ->start();
            accept(path);
        });
}

void
stand_in_store::serve(const parsed_request& request,
    const connection_ptr& connection, std::size_t path)
{
    if (paths_[path].cut)
    {
        return;
    }
    if (refusing_)
    {
        connection->answer(reply_with(status_unavailable, json::object()));
        return;
    }
    const call c(request);
    if (!c.known || c.kind.empty())
    {
        connection->answer(reply_with(status_missing, json::object()));
    }
    else if (c.method == "GET")
    {
        serve_read(c, connection, path);
    }
    else
    {
        connection->answer(
            c.method == "DELETE" ? remove_called(c) : write(c, request.body));
        answer_watches();
    }
}

void
stand_in_store::serve_read(
    const call& c, const connection_ptr& connection, std::size_t path)
{
    if (!c.name.empty())
    {
        const auto found = objects_.find({c.kind, c.name});
        connection->answer(found == objects_.end()
                               ? reply_with(status_missing, json::object())
                               : reply_with(status_ok, found->second));
        return;
    }
    if (c.query.find("watch=") == std::string::npos)
    {
        connection->answer(list(c));
        return;
    }
    watches_.push_back({c.kind, query_number(c.query, "watch"),
        monotonic_clock::now() +
            std::chrono::milliseconds(query_number(c.query, "waitMs")),
        connection, path});
    answer_watches();
}

http_reply
stand_in_store::list(const call& c) const
{
    json items = json::array();
    for (const auto& [at, object] : objects_)
    {
        if (at.first == c.kind)
        {
            items.push_back(object);
        }
    }
    return reply_with(
        status_ok, {{"items", items}, {"hasMore", false}, {"at", revision_}});
}

/// Creates an object, or replaces its `spec` or `status`.
http_reply
stand_in_store::write(const call& c, const std::string& body)
{
    json given = json::parse(body, nullptr, false);
    if (!given.is_object() || !given.contains("meta"))
    {
        return reply_with(status_bad, json::object());
    }
    const bool create = c.method == "POST";
    const std::string name =
        create ? given["meta"].value("name", std::string()) : c.name;
    const auto found = objects_.find({c.kind, name});
    const bool exists = found != objects_.end();
    if (!create && !exists)
    {
        return reply_with(status_missing, json::object());
    }
    const std::uint64_t expected =
        given["meta"].value("revision", std::uint64_t{0});
    if (exists &&
        (create ||
            (expected != 0 && found->second["meta"]["revision"] != expected)))
    {
        return reply_with(status_conflict, found->second);
    }
    json object =
        exists ? found->second
               : json{{"meta", {{"name", name}}},
                     {"spec", given.value("spec", json())}, {"status", json()}};
    if (exists)
    {
        const std::string part = c.part == "status" ? "status" : "spec";
        object[part] = given.value(part, json());
    }
    if (!exists || object != found->second)
    {
        store(c.kind, std::move(object), false);
    }
    return reply_with(
        create ? status_created : status_ok, objects_[{c.kind, name}]);
}

http_reply
stand_in_store::remove_called(const call& c)
{
    const auto found = objects_.find({c.kind, c.name});
    if (found == objects_.end())
    {
        return reply_with(status_missing, json::object());
    }
    const json object = found->second;
    store(c.kind, object, true);
    return reply_with(status_ok, object);
}

void
stand_in_store::put(const std::string& kind, const std::string& name, json spec)
{
    const auto found = objects_.find({kind, name});
    json object = found == objects_.end()
                      ? json{{"meta", {{"name", name}}}, {"status", json()}}
                      : found->second;
    object["spec"] = std::move(spec);
    store(kind, std::move(object), false);
    answer_watches();
}

void
stand_in_store::put_text(
    const std::string& kind, const std::string& name, const std::string& spec)
{
    const std::string mark = "text of " + kind + "/" + name;
    texts_[mark] = spec;
    put(kind, name, mark);
}

void
stand_in_store::remove(const std::string& kind, const std::string& name)
{
    const auto found = objects_.find({kind, name});
    if (found != objects_.end())
    {
        store(kind, json(found->second), true);
        answer_watches();
    }
}

void
stand_in_store::store(const std::string& kind, json object, bool deleted)
{
    json& meta = object["meta"];
    meta["revision"] = ++revision_;
    if (!meta.contains("createdRev"))
    {
        meta["createdRev"] = revision_;
    }
    const key at{kind, meta["name"].get<std::string>()};
    history_.push_back({revision_, kind, object, deleted});
    if (deleted)
    {
        objects_.erase(at);
        return;
    }
    objects_[at] = std::move(object);
}

std::vector<json>
stand_in_store::events_after(const std::string& kind, std::uint64_t after) const
{
    std::vector<json> out;
    for (const event& e : history_)
    {
        if (e.kind == kind && e.revision > after)
        {
            out.push_back({{"object", e.object}, {"deleted", e.deleted}});
        }
    }
    return out;
}

/// Answers the watches that have events or have waited long enough.
void
stand_in_store::answer_watches()
{
    const monotonic_time now = monotonic_clock::now();
    for (auto it = watches_.begin(); it != watches_.end();)
    {
        const auto events = events_after(it->kind, it->after);
        const bool gone = it->after > revision_;
        if (!gone && events.empty() && now < it->until)
        {
            ++it;
            continue;
        }
        if (const auto connection = it->connection.lock())
        {
            connection->answer(
                gone ? reply_with(status_gone, json::object())
                     : reply_with(
                           status_ok, {{"events", events}, {"at", revision_}}));
        }
        it = watches_.erase(it);
    }
}

void
stand_in_store::tick()
{
    answer_watches();
    timer_.expires_after(tick_period);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                tick();
            }
        });
}

} // namespace bramleymux::soak
