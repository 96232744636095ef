#include "slow_caller_fixture.hpp"

#include <memory>
#include <vector>

// Starts the entry program with lowered limits and callers that use up memory
// and descriptors. Checks that the process lives, keeps its bounds and then
// still answers an ordinary caller; no check depends on the machine's speed.

using namespace bramleymux::fixture;

namespace
{

// Fixed before the product had any of these bounds. The callers of each case
// ask for 120 to 180 MB.
constexpr std::size_t callers = 60;
constexpr std::size_t memory_bound_mb = 96;
constexpr rlim_t many_descriptors = 512;
constexpr rlim_t few_descriptors = 128;
constexpr std::size_t idle_callers = 300;
constexpr std::size_t piece_bytes = 512;

std::string
memory_settings(rlim_t descriptors)
{
    return "limit_mb = " + std::to_string(memory_bound_mb) +
           "\nmax_descriptors = " + std::to_string(descriptors) + "\n";
}

struct crowd_fixture
{
    explicit crowd_fixture(rlim_t descriptors = many_descriptors)
        : limit(descriptors),
          process(around, descriptors, memory_settings(descriptors))
    {
        REQUIRE(wait_for_condition(serves_ordinary));
    }

    /// Connects a caller. An ordinary caller asks now and then meanwhile.
    raw_caller&
    add_caller()
    {
        constexpr std::size_t ordinary_every = 10;
        if (crowd.size() % ordinary_every == 0)
        {
            ask_ordinary();
        }
        crowd.push_back(std::make_unique<raw_caller>());
        return *crowd.back();
    }

    /// Waits until each caller has got the start of an answer, or its end.
    void
    wait_for_answers(bool read_bytes = false)
    {
        wait_for_condition(
            [&]
            {
                bool all = true;
                for (const auto& c : crowd)
                {
                    const bool arrived = c->has_input();
                    all = all && arrived;
                    if (arrived && read_bytes)
                    {
                        c->receive(1);
                    }
                }
                ask_ordinary();
                return all || process.has_ended();
            });
    }

    /// Waits until the process has read all that the crowd sent.
    void
    wait_for_input()
    {
        wait_for_condition(
            [&]
            {
                ask_ordinary();
                return unread_bytes() == 0 || process.has_ended();
            });
    }

    /// The crowd is still connected.
    void
    check_bounds()
    {
        CHECK(wait_for_condition(
            [&] { return serves_ordinary() || process.has_ended(); }));
        REQUIRE(!process.has_ended());
        CHECK(process.open_descriptors() < limit);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
        // A sanitizer's own memory is many times that of the program.
        CHECK(process.peak_mb() < memory_bound_mb);
#endif
    }

    rlim_t limit;
    process_surroundings around;
    limited_process process;
    std::vector<std::unique_ptr<raw_caller>> crowd;
};

} // namespace

// Guards against answers that are held without bound for callers that read
// nothing.
TEST_CASE("unread long answers stay within the memory", "[slow-callers]")
{
    crowd_fixture f;
    for (std::size_t i = 0; i < callers; ++i)
    {
        f.add_caller().send(request_text("/long"), piece_bytes);
    }
    f.wait_for_answers();
    f.check_bounds();
}

// Guards against a byte now and then that keeps an answer in memory.
TEST_CASE(
    "long answers read byte by byte stay within the memory", "[slow-callers]")
{
    crowd_fixture f;
    for (std::size_t i = 0; i < callers; ++i)
    {
        f.add_caller().send(request_text("/long"), piece_bytes);
    }
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round)
    {
        f.wait_for_answers(true);
    }
    f.check_bounds();
}

// Guards against pipelined input that is read ahead without bound while the
// answer before it is not read.
TEST_CASE("pipelined requests with unread answers stay within the memory",
    "[slow-callers]")
{
    crowd_fixture f;
    std::string requests;
    while (requests.size() < 2 * max_body_bytes)
    {
        requests += request_text("/long");
    }
    for (std::size_t i = 0; i < callers; ++i)
    {
        f.add_caller().send(requests, requests.size());
    }
    f.wait_for_answers();
    f.check_bounds();
}

// Guards against requests that are received without bound and never end.
TEST_CASE(
    "requests in pieces without end stay within the memory", "[slow-callers]")
{
    crowd_fixture f;
    const std::string body(max_body_bytes - 1, 'b');
    const std::string header(60000, 'h');
    for (std::size_t i = 0; i < callers; ++i)
    {
        raw_caller& with_body = f.add_caller();
        with_body.send(request_text("/small", max_body_bytes), piece_bytes);
        constexpr std::size_t body_piece_bytes = 65536;
        with_body.send(body, body_piece_bytes);
        f.add_caller().send(
            "GET /small HTTP/1.1\r\nX-Long: " + header, piece_bytes);
    }
    f.wait_for_input();
    f.check_bounds();
}

// Guards against connections that send nothing and take all descriptors.
TEST_CASE("silent connections leave descriptors free", "[slow-callers]")
{
    crowd_fixture f(few_descriptors);
    for (std::size_t i = 0; i < idle_callers; ++i)
    {
        f.add_caller();
    }
    f.check_bounds();
}

// Guards against request bodies that are held without bound for targets that
// do not read them.
TEST_CASE("bodies for targets that read nothing stay within the memory",
    "[slow-callers]")
{
    crowd_fixture f;
    const std::string body(max_body_bytes, 'b');
    for (std::size_t i = 0; i < callers; ++i)
    {
        raw_caller& caller = f.add_caller();
        caller.send(request_text("/unread", max_body_bytes), piece_bytes);
        caller.send(body, body.size());
    }
    f.wait_for_input();
    f.check_bounds();
}
