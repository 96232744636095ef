#pragma once

#include "peer.hpp"

#include <boost/outcome.hpp>

/// Encodes peer messages as CBOR maps {"type", "from", "inc", "body"}. The
/// sender fields are omitted if `from` is empty: on a link, the hello
/// identifies the sender.
namespace bramleymux
{

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

enum class peer_codec_errc
{
    ok,
    too_large,    ///< in bytes or in number of items
    malformed,    ///< truncated, trailing bytes or an unsupported item
    too_deep,     ///< nested beyond `config::max_peer_message_depth`
    wrong_type,   ///< a field is missing or of another type
    unknown_type, ///< "type" names no known message
    count
};

inline constexpr name_table<peer_codec_errc> peer_codec_errc_names{
    "ok", "too_large", "malformed", "too_deep", "wrong_type", "unknown_type"};

template <class T>
using peer_codec_result =
    outcome::basic_result<T, peer_codec_errc, outcome::policy::all_narrow>;

/// Fails with `too_large` if the encoded message exceeds
/// `config::max_peer_message_bytes`.
peer_codec_result<std::string>
encode_peer_message(const peer_message& message);

/// Accepts only definite lengths and valid UTF-8; a decoded message can be
/// printed as JSON. Never throws.
peer_codec_result<peer_message>
decode_peer_message(std::string_view bytes);

} // namespace bramleymux
