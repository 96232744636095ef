#pragma once

#include "caller_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <string>
#include <vector>

namespace bramleymux::soak
{

/// Stand-in of the platform's store: objects by kind and name with revisions,
/// list, get, watch, POST, PUT and DELETE. Has no rates, costs or faults.
class stand_in_store
{
public:
    explicit stand_in_store(boost::asio::io_context& loop);

    std::string
    address() const;

    /// Writes an object as the operator or a target does.
    void
    put(const std::string& kind, const std::string& name, nlohmann::json spec);

private:
    using key = std::pair<std::string, std::string>; ///< kind and name
    using connection_ptr = std::shared_ptr<caller_connection>;

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
    };

    struct call;

    void
    accept();
    void
    serve(const parsed_request& request, const connection_ptr& connection);
    void
    serve_read(const call& c, const connection_ptr& connection);
    http_reply
    list(const call& c) const;
    http_reply
    write(const call& c, const std::string& body);
    http_reply
    remove(const call& c);
    void
    store(const std::string& kind, nlohmann::json object, bool deleted);
    std::vector<nlohmann::json>
    events_after(const std::string& kind, std::uint64_t after) const;
    void
    answer_watches();
    void
    tick();

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::uint64_t revision_ = 1;
    std::map<key, nlohmann::json> objects_;
    std::vector<event> history_;
    std::list<waiting_watch> watches_;
};

} // namespace bramleymux::soak
