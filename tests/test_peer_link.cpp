#include "certificate_authority.hpp"
#include "config.hpp"
#include "peer_codec.hpp"
#include "peer_link.hpp"

#include <catch2/catch.hpp>

#include <spdlog/spdlog.h>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

using namespace bramleymux;
using bramleymux::test::authority;
using nlohmann::json;

namespace
{

// Upper bound of every wait. No test depends on the actual duration.
constexpr auto wait_limit = std::chrono::seconds(30);
constexpr std::size_t reply_count = 20;
constexpr std::size_t reply_bytes = 100'000;

template <class Condition>
bool
eventually(Condition condition)
{
    const auto end = monotonic_clock::now() + wait_limit;
    while (!condition())
    {
        if (monotonic_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

struct node
{
    explicit node(const std::string& id, std::uint64_t incarnation = 1,
        std::uint16_t port = 0, const tls_files& tls = {})
        : link({{id, "z1", "127.0.0.1:" + std::to_string(port), incarnation},
                   "127.0.0.1", port, tls, 1},
              [this](peer_message message)
              {
                  const std::lock_guard lock(mutex);
                  inbox.push_back(std::move(message));
              })
    {
        // ThreadSanitizer does not see how the uninstrumented spdlog
        // synchronizes the creation of its logger.
        spdlog::default_logger();
        started = link.start();
    }

    std::size_t
    received()
    {
        const std::lock_guard lock(mutex);
        return inbox.size();
    }

    bool
    try_send(const vm_identity& to, const json& body)
    {
        return link.send(to, {peer_message_type::evidence, "forged", 99, body});
    }

    bool
    send_eventually(const vm_identity& to, const json& body)
    {
        return eventually([&] { return try_send(to, body); });
    }

    std::mutex mutex;
    std::deque<peer_message> inbox;
    bool started = false;
    peer_link link; // destroyed first, so that its thread ends before the rest
};

} // namespace

// Guards against lost or reordered messages and against a forged sender.
TEST_CASE(
    "messages arrive in order with the sender of the hello", "[peer_link]")
{
    node a("a", 11);
    node b("b", 12);
    REQUIRE(a.started);
    REQUIRE(b.started);
    REQUIRE(a.send_eventually(b.link.self(), {{"n", 0}}));
    for (int n = 1; n < 500; ++n)
    {
        REQUIRE(a.try_send(b.link.self(), {{"n", n}}));
    }
    REQUIRE(eventually([&] { return b.received() == 500; }));
    for (int n = 0; n < 500; ++n)
    {
        CHECK(b.inbox[n].from == "a");
        CHECK(b.inbox[n].from_incarnation == 11);
        CHECK(b.inbox[n].body["n"] == n);
    }
    const auto type = static_cast<std::size_t>(peer_message_type::evidence);
    CHECK(a.link.stats().sent[type].messages == 500);
    CHECK(
        b.link.stats().received[type].bytes == a.link.stats().sent[type].bytes);
}

// Guards against a stop that drops replies which are queued for a peer.
TEST_CASE("messages sent before a stop arrive", "[peer_link]")
{
    node a("a");
    node b("b");
    REQUIRE(a.send_eventually(b.link.self(), {{"n", 0}}));
    const std::string reply(reply_bytes, 'r');
    for (std::size_t n = 1; n < reply_count; ++n)
    {
        REQUIRE(a.try_send(b.link.self(), {{"n", n}, {"reply", reply}}));
    }
    a.link.stop();
    REQUIRE(eventually([&] { return b.link.stats().open_links == 0; }));
    CHECK(b.received() == reply_count);
}

// Guards against replies that need a second connection, back to the sender.
TEST_CASE("a reply goes over the incoming connection", "[peer_link]")
{
    node a("a");
    node b("b");
    REQUIRE(a.send_eventually(b.link.self(), {{"n", 1}}));
    REQUIRE(eventually([&] { return b.received() == 1; }));
    const vm_identity without_address{"a", "z1", "", 0};
    REQUIRE(b.try_send(without_address, {{"n", 2}}));
    REQUIRE(eventually([&] { return a.received() == 1; }));
    CHECK(a.inbox[0].from == "b");
}

// Guards against a send that is reported as failed but still arrives: the
// caller would be told that a request was not run although it was.
TEST_CASE("a send without a link is dropped", "[peer_link]")
{
    node a("a");
    node b("b");
    REQUIRE_FALSE(a.try_send(b.link.self(), {{"n", "dropped"}}));
    REQUIRE(a.send_eventually(b.link.self(), {{"n", "kept"}}));
    REQUIRE(eventually([&] { return b.received() == 1; }));
    CHECK(b.inbox[0].body["n"] == "kept");
    CHECK(a.link.stats().unreachable >= 1);
}

// Guards against delivering messages for one VM to another one that has taken
// over its address.
TEST_CASE("a peer with an unexpected id is refused", "[peer_link]")
{
    node a("a");
    node b("b");
    const vm_identity wrong{"c", "z1", b.link.self().peer_address, 1};
    REQUIRE(eventually(
        [&]
        {
            CHECK_FALSE(a.try_send(wrong, {{"n", 1}}));
            return a.link.stats().refused > 0;
        }));
    CHECK(b.received() == 0);
}

// Guards against a link that still refers to the previous run of a restarted
// VM.
TEST_CASE("a restarted peer is reached again", "[peer_link]")
{
    node a("a");
    auto b = std::make_unique<node>("b", 1);
    const std::uint16_t port = b->link.port();
    REQUIRE(a.send_eventually(b->link.self(), {{"n", 1}}));
    REQUIRE(eventually([&] { return b->received() == 1; }));
    b.reset();
    b = std::make_unique<node>("b", 2, port);
    REQUIRE(b->started);
    REQUIRE(a.send_eventually(b->link.self(), {{"n", 2}}));
    REQUIRE(eventually([&] { return b->received() == 1; }));
    // The restarted VM can also send to the other one.
    REQUIRE(b->send_eventually(a.link.self(), {{"n", 3}}));
    REQUIRE(eventually([&] { return a.received() == 1; }));
    CHECK(a.inbox[0].from_incarnation == 2);
}

// Guards against sending a message to an earlier run of a VM than the intended
// one.
TEST_CASE("a link to an earlier incarnation is not used", "[peer_link]")
{
    node a("a");
    node b("b", 5);
    REQUIRE(a.send_eventually(b.link.self(), {{"n", 1}}));
    vm_identity later = b.link.self();
    later.incarnation = 6;
    CHECK_FALSE(a.try_send(later, {{"n", 2}}));
    REQUIRE(a.send_eventually(b.link.self(), {{"n", 3}}));
    REQUIRE(eventually([&] { return b.received() == 2; }));
    CHECK(b.inbox[1].body["n"] == 3);
}

// Guards against memory that grows without bound when a peer stops reading.
TEST_CASE("the send queue of a peer is bounded", "[peer_link]")
{
    node a("a");
    std::mutex handler_mutex;
    std::unique_lock handler_lock(handler_mutex);
    peer_link slow({{"slow", "z1", "127.0.0.1:0", 1}, "127.0.0.1", 0, {}, 1},
        [&handler_mutex](const peer_message&)
        { const std::lock_guard wait(handler_mutex); });
    REQUIRE(slow.start());
    const json body{{"text", std::string(config::mib, 'x')}};
    REQUIRE(a.send_eventually(slow.self(), body));
    bool dropped = false;
    for (int i = 0; i < 1000 && !dropped; ++i)
    {
        dropped = !a.try_send(slow.self(), body);
    }
    CHECK(dropped);
    CHECK(a.link.stats().overflowed > 0);
    handler_lock.unlock();
}

// Guards against a bind failure or unreadable certificates that go unnoticed.
TEST_CASE("a link that cannot start reports the failure", "[peer_link]")
{
    node a("a");
    node second("b", 1, a.link.port());
    CHECK_FALSE(second.started);
    node unreadable(
        "c", 1, 0, {"/nonexistent", "/nonexistent", "/nonexistent"});
    CHECK_FALSE(unreadable.started);
}

// Guards against unauthenticated peers, and against new certificates that take
// effect only after a restart.
TEST_CASE("TLS authenticates both sides and reloads", "[peer_link]")
{
    authority ours("ours");
    authority other("other");
    const tls_files a_files = ours.issue("a");
    node a("a", 1, 0, a_files);
    node b("b", 1, 0, ours.issue("b"));
    REQUIRE(a.send_eventually(b.link.self(), {{"n", 1}}));
    REQUIRE(eventually([&] { return b.received() == 1; }));

    tls_files stranger_files = other.issue("stranger");
    // The stranger trusts `ours`, but its own certificate is from `other`.
    stranger_files.ca_file = a_files.ca_file;
    node stranger("stranger", 1, 0, stranger_files);
    node plain("plain");
    for (int i = 0; i < 20; ++i)
    {
        CHECK_FALSE(stranger.try_send(b.link.self(), {{"n", 2}}));
        CHECK_FALSE(plain.try_send(b.link.self(), {{"n", 2}}));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(b.received() == 1);

    // Replace the stranger's certificate by one of the accepted authority.
    const tls_files renewed = ours.issue("stranger");
    std::filesystem::copy_file(renewed.certificate_file,
        stranger_files.certificate_file,
        std::filesystem::copy_options::overwrite_existing);
    std::filesystem::copy_file(renewed.key_file, stranger_files.key_file,
        std::filesystem::copy_options::overwrite_existing);
    REQUIRE(stranger.link.reload_tls());
    REQUIRE(stranger.send_eventually(b.link.self(), {{"n", 3}}));
    REQUIRE(eventually([&] { return b.received() == 2; }));

    // Reloading unreadable files fails and keeps the earlier certificates.
    std::filesystem::remove(stranger_files.key_file);
    CHECK_FALSE(stranger.link.reload_tls());
}
