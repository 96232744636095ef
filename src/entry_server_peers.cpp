#include "caller_connection.hpp"
#include "entry_server.hpp"
#include "gather_job.hpp"

/// Requests of other VMs to an entry_server.
namespace bramleymux
{

void
entry_server::add_peer_handler(std::string prefix,
    std::function<void(
        const parsed_request&, std::function<void(http_reply&&)>)>
        handler)
{
    prefix_handlers_.emplace_back(std::move(prefix), std::move(handler));
}

void
entry_server::serve_peer(parsed_request&& request,
    const std::shared_ptr<caller_connection>& connection)
{
    const auto answer = [weak = std::weak_ptr<caller_connection>(connection)](
                            http_reply&& r)
    {
        if (const auto c = weak.lock())
        {
            c->answer(std::move(r));
        }
    };
    for (const auto& [prefix, handler] : prefix_handlers_)
    {
        if (request.path.compare(0, prefix.size(), prefix) == 0)
        {
            handler(request, answer);
            return;
        }
    }
    const bool is_order =
        request.path == gather_path || parse_rest_path(request.path) != 0;
    if (is_order)
    {
        serve_order(std::move(request), connection);
    }
    else
    {
        peer_handler_(request.path, answer);
    }
}

} // namespace bramleymux
