#include "ownership_codec.hpp"

#include "config.hpp"

namespace bramleymux
{

using nlohmann::json;

namespace
{

json
ref_to_json(const vm_ref& ref)
{
    return json::array({ref.id, ref.incarnation});
}

vm_ref
ref_from_json(const json& value)
{
    return {value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>()};
}

json
refs_to_json(const std::vector<vm_ref>& refs)
{
    json out = json::array();
    for (const vm_ref& ref : refs)
    {
        out.push_back(ref_to_json(ref));
    }
    return out;
}

std::vector<vm_ref>
refs_from_json(const json& value)
{
    std::vector<vm_ref> out;
    for (const json& item : value)
    {
        if (out.size() >= config::max_vms)
        {
            break;
        }
        out.push_back(ref_from_json(item));
    }
    return out;
}

json
running_to_json(const std::vector<running_count>& running)
{
    json out = json::array();
    for (const running_count& r : running)
    {
        out.push_back(json::array({r.target, r.count}));
    }
    return out;
}

std::vector<running_count>
running_from_json(const json& value)
{
    std::vector<running_count> out;
    for (const json& item : value)
    {
        if (out.size() >= config::max_targets)
        {
            break;
        }
        out.push_back(
            {item.at(0).get<std::string>(), item.at(1).get<std::uint32_t>()});
    }
    return out;
}

peer_message
make_message(peer_message_type type, const vm_ref& from, json body)
{
    return {type, from.id, from.incarnation, std::move(body)};
}

/// Reads the fields common to all ownership messages, then calls `read` with
/// the body for those of one type.
template <class Message, class Read>
bool
parse_fields(const peer_message& message, Message& out, const Read& read)
{
    try
    {
        out.from = {message.from, message.from_incarnation};
        out.to = ref_from_json(message.body.at("to"));
        out.number = message.body.at("n").get<std::uint64_t>();
        read(message.body);
        return true;
    }
    catch (const json::exception&)
    {
        return false;
    }
}

} // namespace

peer_message
to_message(const view_request& request)
{
    return make_message(peer_message_type::view_request, request.from,
        {{"to", ref_to_json(request.to)}, {"n", request.number},
            {"v", request.view}, {"m", refs_to_json(request.members)},
            {"r", request.ready}});
}

peer_message
to_message(const view_ack& ack)
{
    return make_message(peer_message_type::view_ack, ack.from,
        {{"to", ref_to_json(ack.to)}, {"n", ack.number}, {"q", ack.request},
            {"v", ack.view}, {"m", refs_to_json(ack.members)},
            {"g", ack.granted}, {"s", ack.settled},
            {"w", running_to_json(ack.running)}});
}

peer_message
to_message(const view_release& release)
{
    return make_message(peer_message_type::view_release, release.from,
        {{"to", ref_to_json(release.to)}, {"n", release.number},
            {"u", release.up_to}, {"l", release.leaving},
            {"m", refs_to_json(release.members)},
            {"m", refs_to_json(release.members)},
            {"w", running_to_json(release.running)}});
}

bool
parse_message(const peer_message& message, view_request& out)
{
    return parse_fields(message, out,
        [&out](const json& body)
        {
            body.at("v").get_to(out.view);
            out.members = refs_from_json(body.at("m"));
            body.at("r").get_to(out.ready);
        });
}

bool
parse_message(const peer_message& message, view_ack& out)
{
    return parse_fields(message, out,
        [&out](const json& body)
        {
            body.at("q").get_to(out.request);
            body.at("v").get_to(out.view);
            out.members = refs_from_json(body.at("m"));
            body.at("g").get_to(out.granted);
            body.at("s").get_to(out.settled);
            out.running = running_from_json(body.at("w"));
        });
}

bool
parse_message(const peer_message& message, view_release& out)
{
    return parse_fields(message, out,
        [&out](const json& body)
        {
            body.at("u").get_to(out.up_to);
            body.at("l").get_to(out.leaving);
            out.members = refs_from_json(body.at("m"));
            out.members = refs_from_json(body.at("m"));
            out.running = running_from_json(body.at("w"));
        });
}

} // namespace bramleymux
