#include <bramleymux/types.hpp>

#include <catch2/catch.hpp>

using namespace bramleymux;

// Guards against an enumerator without a name, which would be printed as an
// empty string and could not be parsed back.
TEST_CASE("every enumerator has its own name", "[types]")
{
    for (std::size_t i = 0; i < miss_reason_names.size(); ++i)
    {
        const auto value = static_cast<miss_reason>(i);
        CHECK_FALSE(to_string(value).empty());
        CHECK(from_name<miss_reason>(miss_reason_names, to_string(value)) ==
              value);
    }
    CHECK(
        from_name<run_state>(run_state_names, "nonsense") == run_state::count);
}
