#include "config.hpp"
#include "peer_codec.hpp"
#include "property.hpp"

#include <catch2/catch.hpp>

using namespace bramleymux;
using nlohmann::json;

namespace
{

std::string
cbor(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

peer_codec_errc
error_of(std::string_view bytes)
{
    const auto result = decode_peer_message(bytes);
    return result ? peer_codec_errc::ok : result.error();
}

} // namespace

// Guards against a field that is lost or altered between two VMs.
TEST_CASE("a peer message survives encoding", "[peer_codec]")
{
    for (std::size_t i = 0; i < peer_message_type_names.size(); ++i)
    {
        const peer_message sent{static_cast<peer_message_type>(i), "vm-1",
            1764831600000000U,
            {{"a", {1, -2, 2.5, nullptr, true}}, {"b", {{"c", "\u00e9"}}}}};
        const auto got = decode_peer_message(encode_peer_message(sent).value());
        REQUIRE(got);
        CHECK(got.value().type == sent.type);
        CHECK(got.value().from == sent.from);
        CHECK(got.value().from_incarnation == sent.from_incarnation);
        CHECK(got.value().body == sent.body);
    }
}

// Guards against refusing evidence of version moves, which is a byte string,
// as malformed: moves would then see only the replies of their own VM.
TEST_CASE("byte strings survive encoding", "[peer_codec]")
{
    const peer_message sent{peer_message_type::evidence, "vm-1", 1,
        {{"e", json::binary({0x00, 0xFF, 0x80})}}};
    const std::string bytes = encode_peer_message(sent).value();
    const auto got = decode_peer_message(bytes);
    REQUIRE(got);
    CHECK(got.value().body == sent.body);
    CHECK(error_of(bytes.substr(0, bytes.size() - 1)) ==
          peer_codec_errc::malformed);
}

// Guards against redundant sender fields on a link, where the hello identifies
// the sender; they would take up a third of a probe.
TEST_CASE("a message without a sender has no sender fields", "[peer_codec]")
{
    const peer_message sent{peer_message_type::probe, "", 0, json::object()};
    const std::string bytes = encode_peer_message(sent).value();
    CHECK(json::from_cbor(bytes).size() == 2);
    CHECK(decode_peer_message(bytes).value().from.empty());
}

// Guards against malformed input that crashes the decoder or is accepted.
TEST_CASE("malformed peer messages are refused", "[peer_codec]")
{
    CHECK(error_of("") == peer_codec_errc::malformed);
    CHECK(error_of(cbor(json::array())) == peer_codec_errc::wrong_type);
    CHECK(error_of(cbor({{"type", "probe"}})) == peer_codec_errc::wrong_type);
    CHECK(error_of(cbor({{"type", "probe"}, {"body", 1}})) ==
          peer_codec_errc::wrong_type);
    CHECK(error_of(cbor({{"type", "nonsense"}, {"body", json::object()}})) ==
          peer_codec_errc::unknown_type);
    CHECK(error_of(cbor({{"type", "probe"}, {"body", json::object()},
              {"from", "a"}})) == peer_codec_errc::wrong_type);
    CHECK(error_of(cbor({{"type", "probe"}, {"body", json::object()},
              {"from", "a"}, {"inc", -1}})) == peer_codec_errc::wrong_type);
    const std::string good =
        cbor({{"type", "probe"}, {"body", {{"text", "abc"}}}});
    REQUIRE(error_of(good) == peer_codec_errc::ok);
    CHECK(error_of(good + "x") == peer_codec_errc::malformed);
    std::string invalid_utf8 = good;
    invalid_utf8[invalid_utf8.find("abc")] = '\xff';
    CHECK(error_of(invalid_utf8) == peer_codec_errc::malformed);
    CHECK(error_of("\xbf\xff") == peer_codec_errc::malformed);
    CHECK(error_of("\x5b\xff\xff\xff\xff\xff\xff\xff\xff") ==
          peer_codec_errc::malformed);
}

// Guards against a stack overflow, because the parser recurses for each
// container.
TEST_CASE("deep nesting is refused before parsing", "[peer_codec]")
{
    CHECK(error_of(std::string(config::max_peer_message_bytes, '\x81')) ==
          peer_codec_errc::too_deep);
}

// Guards against unbounded memory from one message.
TEST_CASE("sizes of peer messages are bounded", "[peer_codec]")
{
    const std::string text(config::max_peer_message_bytes, 'a');
    const peer_message large{peer_message_type::table, "", 0, {{"t", text}}};
    CHECK(encode_peer_message(large).error() == peer_codec_errc::too_large);
    CHECK(error_of(text + "a") == peer_codec_errc::too_large);
    const json items(config::max_peer_message_items + 1, 0);
    CHECK(error_of(cbor({{"type", "table"}, {"body", {{"i", items}}}})) ==
          peer_codec_errc::too_large);
}

// Guards against exceptions and reads out of bounds on damaged messages.
TEST_CASE("damaged peer messages never throw", "[peer_codec]")
{
    const peer_message sent{peer_message_type::ack, "vm-1", 7,
        {{"u", {{"vm-2", 1, 2, 0, 1.5}, {"vm-3", 1, 2, 0, "x"}}}}};
    const std::string good = encode_peer_message(sent).value();
    CHECK(test::holds(11, 500,
        [&good]
        {
            std::string bytes = good;
            const auto edits = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::arbitrary<std::uint32_t>());
            for (const std::uint32_t edit : edits)
            {
                bytes[(edit >> 8U) % bytes.size()] = static_cast<char>(edit);
            }
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            const auto got = decode_peer_message(bytes);
            if (got)
            {
                RC_ASSERT(got.value().body.is_object());
                RC_ASSERT(!got.value().body.dump().empty());
            }
        }));
}
