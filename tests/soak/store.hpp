#pragma once

#include "caller_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleymux::soak
{

/// Stand-in of the platform's store: objects by kind and name with revisions,
/// list, get, watch, POST, PUT and DELETE. Has no rates or costs. Each VM has a
/// path of its own, which can be cut. Can be restored from an older copy of
/// itself; from then on, replies state the number of restores.
class stand_in_store
{
public:
    stand_in_store(boost::asio::io_context& loop, std::size_t paths);

    std::string
    address(std::size_t path) const;

    /// While a path is cut, its calls are left without replies.
    void
    set_cut(std::size_t path, bool cut);

    /// Keeps a copy for `restore`.
    void
    save();

    /// Goes back to the copy. Revisions are given out again; a watch from one
    /// that the copy does not have gets 410.
    void
    restore();

    /// While set, answers every call with 503, which states the era.
    void
    set_refusing(bool refusing);

    bool
    has(const std::string& kind, const std::string& name) const;

    std::uint64_t
    revision() const
    {
        return revision_;
    }

    /// Writes an object as the operator or a target does.
    void
    put(const std::string& kind, const std::string& name, nlohmann::json spec);

    /// Writes an object whose spec is handed out as this text, which need not
    /// be readable.
    void
    put_text(const std::string& kind, const std::string& name,
        const std::string& spec);

    /// Removes an object as its owner or a timeout does.
    void
    remove(const std::string& kind, const std::string& name);

private:
    using key = std::pair<std::string, std::string>; ///< kind and name
    using connection_ptr = std::shared_ptr<caller_connection>;

    /// Where one VM connects to.
    struct path
    {
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        bool cut = false;
    };

    struct event
    {
        std::uint64_t revision;
        std::string kind;
        nlohmann::json object;
        bool deleted;
    };

    struct waiting_watch
    {
        std::string kind;
        std::uint64_t after;
        monotonic_time until;
        std::weak_ptr<caller_connection> connection;
        std::size_t path;
    };

    struct call;

    struct copy
    {
        std::uint64_t revision = 1;
        std::map<key, nlohmann::json> objects;
        std::vector<event> history;
    };

    void
    accept(std::size_t path);
    void
    serve(const parsed_request& request, const connection_ptr& connection,
        std::size_t path);
    void
    serve_read(
        const call& c, const connection_ptr& connection, std::size_t path);
    http_reply
    reply_with(int status, const nlohmann::json& body) const;
    http_reply
    list(const call& c) const;
    http_reply
    write(const call& c, const std::string& body);
    http_reply
    remove_called(const call& c);
    void
    store(const std::string& kind, nlohmann::json object, bool deleted);
    std::vector<nlohmann::json>
    events_after(const std::string& kind, std::uint64_t after) const;
    void
    answer_watches();
    void
    tick();

    boost::asio::io_context& loop_;
    std::vector<path> paths_;
    boost::asio::steady_timer timer_;
    std::uint64_t era_ = 0; ///< restores so far
    bool refusing_ = false;
    copy saved_;
    std::uint64_t revision_ = 1;
    std::map<key, nlohmann::json> objects_;
    std::vector<event> history_;
    std::list<waiting_watch> watches_;
    /// Texts of unreadable specs by their marks, which stand for them in the
    /// objects.
    std::map<std::string, std::string> texts_;
};

} // namespace bramleymux::soak
