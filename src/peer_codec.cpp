#include "peer_codec.hpp"

#include "config.hpp"

#include <algorithm>
#include <exception>
#include <optional>

namespace bramleymux
{

using nlohmann::json;

namespace
{

/// CBOR major types (RFC 8949, section 3.1).
enum class major_type : std::uint8_t
{
    unsigned_integer,
    negative_integer,
    byte_string,
    text,
    array,
    map,
    tag,
    simple,
    count
};

/// Returns the length of the UTF-8 sequence at `at`, or 0 if it is invalid.
std::size_t
utf8_length(std::string_view text, std::size_t at)
{
    const auto byte = [&](std::size_t i)
    { return i < text.size() ? static_cast<std::uint8_t>(text[i]) : 0U; };
    const auto continues = [&](std::size_t i)
    { return (byte(i) & 0xC0U) == 0x80U; };
    const std::uint32_t lead = byte(at);
    const std::uint32_t second = byte(at + 1);
    if (lead < 0x80)
    {
        return 1;
    }
    if (lead >= 0xC2 && lead <= 0xDF)
    {
        return continues(at + 1) ? 2 : 0;
    }
    if (lead >= 0xE0 && lead <= 0xEF)
    {
        const bool overlong = lead == 0xE0 && second < 0xA0;
        const bool surrogate = lead == 0xED && second >= 0xA0;
        return continues(at + 1) && continues(at + 2) && !overlong && !surrogate
                   ? 3
                   : 0;
    }
    if (lead >= 0xF0 && lead <= 0xF4)
    {
        const bool overlong = lead == 0xF0 && second < 0x90;
        const bool beyond = lead == 0xF4 && second >= 0x90;
        return continues(at + 1) && continues(at + 2) && continues(at + 3) &&
                       !overlong && !beyond
                   ? 4
                   : 0;
    }
    return 0;
}

bool
is_utf8(std::string_view text)
{
    for (std::size_t at = 0; at < text.size();)
    {
        const std::size_t length = utf8_length(text, at);
        if (length == 0)
        {
            return false;
        }
        at += length;
    }
    return true;
}

/// Bounds nesting depth and item count before the parser runs, because the
/// parser recurses for each nested container and allocates for each item.
class structure_checker
{
public:
    explicit structure_checker(std::string_view bytes) : bytes_(bytes) {}

    peer_codec_errc
    run()
    {
        const peer_codec_errc result = check_item(0);
        if (result == peer_codec_errc::ok && at_ != bytes_.size())
        {
            return peer_codec_errc::malformed;
        }
        return result;
    }

private:
    std::size_t
    remaining() const
    {
        return bytes_.size() - at_;
    }

    /// Reads the argument of an item's head (RFC 8949, section 3). Returns
    /// nullopt if it is truncated or the length is indefinite.
    std::optional<std::uint64_t>
    read_argument(std::uint8_t info)
    {
        if (info < 24)
        {
            return info;
        }
        if (info > 27)
        {
            return std::nullopt;
        }
        const std::size_t size = std::size_t{1} << (info - 24U);
        if (remaining() < size)
        {
            return std::nullopt;
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < size; ++i)
        {
            value = value << 8U | static_cast<std::uint8_t>(bytes_[at_++]);
        }
        return value;
    }

    bool
    skip_text(std::uint64_t length)
    {
        if (length > remaining() || !is_utf8(bytes_.substr(at_, length)))
        {
            return false;
        }
        at_ += length;
        return true;
    }

    bool
    skip_bytes(std::uint64_t length)
    {
        if (length > remaining())
        {
            return false;
        }
        at_ += length;
        return true;
    }

    /// Checks the items of an array, or the pairs of a map if `keyed`.
    peer_codec_errc
    check_children(std::uint64_t count, bool keyed, std::size_t depth)
    {
        if (count > remaining())
        {
            return peer_codec_errc::malformed;
        }
        for (std::uint64_t i = 0; i < count; ++i)
        {
            if (keyed && !skip_key())
            {
                return peer_codec_errc::malformed;
            }
            const peer_codec_errc result = check_item(depth + 1);
            if (result != peer_codec_errc::ok)
            {
                return result;
            }
        }
        return peer_codec_errc::ok;
    }

    bool
    skip_key()
    {
        if (remaining() == 0)
        {
            return false;
        }
        const auto head = static_cast<std::uint8_t>(bytes_[at_++]);
        if (static_cast<major_type>(head >> 5U) != major_type::text)
        {
            return false;
        }
        const auto length = read_argument(head & 0x1FU);
        return length && skip_text(*length);
    }

    peer_codec_errc
    check_item(std::size_t depth)
    {
        if (depth >= config::max_peer_message_depth)
        {
            return peer_codec_errc::too_deep;
        }
        if (++items_ > config::max_peer_message_items)
        {
            return peer_codec_errc::too_large;
        }
        if (remaining() == 0)
        {
            return peer_codec_errc::malformed;
        }
        const auto head = static_cast<std::uint8_t>(bytes_[at_++]);
        const auto value = read_argument(head & 0x1FU);
        if (!value)
        {
            return peer_codec_errc::malformed;
        }
        switch (static_cast<major_type>(head >> 5U))
        {
        case major_type::unsigned_integer:
        case major_type::negative_integer:
            return peer_codec_errc::ok;
        case major_type::byte_string:
            return skip_bytes(*value) ? peer_codec_errc::ok
                                      : peer_codec_errc::malformed;
        case major_type::text:
            return skip_text(*value) ? peer_codec_errc::ok
                                     : peer_codec_errc::malformed;
        case major_type::array:
            return check_children(*value, false, depth);
        case major_type::map:
            return check_children(*value, true, depth);
        case major_type::simple:
            // false, true, null, and floats of 2, 4 and 8 bytes.
            return (head >= 0xF4 && head <= 0xF6) ||
                           (head >= 0xF9 && head <= 0xFB)
                       ? peer_codec_errc::ok
                       : peer_codec_errc::malformed;
        default:
            return peer_codec_errc::malformed;
        }
    }

    std::string_view bytes_;
    std::size_t at_ = 0;
    std::size_t items_ = 0;
};

peer_codec_errc
read_fields(json& map, peer_message& out)
{
    const auto type = map.find("type");
    const auto body = map.find("body");
    if (type == map.end() || !type->is_string() || body == map.end() ||
        !body->is_object())
    {
        return peer_codec_errc::wrong_type;
    }
    out.type = from_name<peer_message_type>(
        peer_message_type_names, type->get_ref<const std::string&>());
    if (out.type == peer_message_type::count)
    {
        return peer_codec_errc::unknown_type;
    }
    const auto from = map.find("from");
    const auto incarnation = map.find("inc");
    if (from != map.end() || incarnation != map.end())
    {
        if (from == map.end() || incarnation == map.end() ||
            !from->is_string() || !incarnation->is_number_unsigned())
        {
            return peer_codec_errc::wrong_type;
        }
        out.from = from->get<std::string>();
        out.from_incarnation = incarnation->get<std::uint64_t>();
    }
    out.body = std::move(*body);
    return peer_codec_errc::ok;
}

} // namespace

peer_codec_result<std::string>
encode_peer_message(const peer_message& message)
{
    json map = {
        {"type",
            peer_message_type_names[static_cast<std::size_t>(message.type)]},
        {"body", message.body.is_object() ? message.body : json::object()}};
    if (!message.from.empty())
    {
        map["from"] = message.from;
        map["inc"] = message.from_incarnation;
    }
    std::string bytes;
    json::to_cbor(map, bytes);
    if (bytes.size() > config::max_peer_message_bytes)
    {
        return peer_codec_errc::too_large;
    }
    return bytes;
}

peer_codec_result<peer_message>
decode_peer_message(std::string_view bytes)
{
    if (bytes.size() > config::max_peer_message_bytes)
    {
        return peer_codec_errc::too_large;
    }
    peer_codec_errc result = structure_checker(bytes).run();
    if (result != peer_codec_errc::ok)
    {
        return result;
    }
    try
    {
        json map = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (!map.is_object())
        {
            return peer_codec_errc::wrong_type;
        }
        peer_message out;
        result = read_fields(map, out);
        if (result != peer_codec_errc::ok)
        {
            return result;
        }
        return out;
    }
    catch (const std::exception&)
    {
        return peer_codec_errc::malformed;
    }
}

} // namespace bramleymux
