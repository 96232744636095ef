#include "entry_problem.hpp"

#include "config.hpp"

#include <algorithm>

namespace bramleymux
{

using nlohmann::ordered_json;

namespace
{

double
in_milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

http_reply
make_entry_problem(problem_code code, run_state run, std::string_view detail,
    std::mt19937_64& random, duration retry_after)
{
    http_reply out;
    out.status = status_of(code, run);
    const ordered_json document{{"type", "about:blank"},
        {"title", info_of(code).title}, {"status", out.status},
        {"code", problem_code_names[static_cast<std::size_t>(code)]},
        {"run", to_string(run)}, {"detail", detail}};
    out.fields.push_back({"Content-Type", "application/problem+json"});
    constexpr int service_unavailable = 503;
    if (out.status == service_unavailable && run == run_state::not_run)
    {
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        const double retry_after_s =
            (std::max(in_milliseconds(config::retry_after_min),
                 in_milliseconds(retry_after)) +
                jitter(random) * in_milliseconds(config::retry_after_spread)) /
            1000.0;
        out.fields.push_back({"Retry-After", std::to_string(retry_after_s)});
    }
    out.body =
        document.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
    return out;
}

} // namespace bramleymux
