#include "problem.hpp"

#include <array>

namespace bramleymux
{

using nlohmann::json;

namespace
{

constexpr std::array<problem_info,
    static_cast<std::size_t>(problem_code::count)>
    problem_table{{
        {200, "no problem"},
        {404, "unknown path"},
        {405, "method not allowed"},
        {404, "unknown service"},
        {404, "unknown route"},
        {400, "invalid request"},
        {400, "an Idempotency-Key header is required"},
        {422, "the Idempotency-Key was used for another request"},
        {409, "a request with this Idempotency-Key was already sent"},
        {401, "unauthorized"},
        {503, "the access keys may be out of date"},
        {503, "no table yet"},
        {503, "this VM is stopping"},
        {503, "overloaded"},
        {503, "no snapshot can be served"},
        {503, "the platform does not answer"},
        {503, "coverage below the minimum"},
        {503, "the target refused the request"},
        {504, "the deadline passed"},
        {504, "the outcome is unknown"},
        {503, "no target can take the request"},
        {502, "the targets failed"},
        {408, "the request was not complete in time"},
        {431, "the header is too long"},
        {413, "the body is too long"},
        {400, "the edit has findings"},
        {409, "another edit changed the same rows"},
        {503, "the edit was not accepted"},
        {503, "the outcome of the edit is unknown"},
    }};

constexpr const char* retry_after_seconds = "1";

constexpr int request_timeout = 408;
constexpr int misdirected_request = 421;
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;

} // namespace

const problem_info&
info_of(problem_code code)
{
    return problem_table[static_cast<std::size_t>(code)];
}

bool
promises_not_run(int status)
{
    return status == request_timeout || status == misdirected_request ||
           status == too_many_requests || status == service_unavailable;
}

int
status_of(problem_code code, run_state run)
{
    const int status = info_of(code).status;
    return run != run_state::not_run && promises_not_run(status) ? bad_gateway
                                                                 : status;
}

server_response
make_problem(
    problem_code code, run_state run, const std::string& detail, json extra)
{
    const int status = status_of(code, run);
    extra["type"] = "about:blank";
    extra["title"] = info_of(code).title;
    extra["status"] = status;
    extra["code"] = problem_code_names[static_cast<std::size_t>(code)];
    extra["run"] = to_string(run);
    if (!detail.empty())
    {
        extra["detail"] = detail;
    }
    server_response response;
    response.status = status;
    response.content_type = "application/problem+json";
    if (status == service_unavailable && run == run_state::not_run)
    {
        response.headers.emplace_back("Retry-After", retry_after_seconds);
    }
    response.body = extra.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

json
to_json(const findings& found)
{
    json out = json::array();
    for (const finding& f : found)
    {
        out.push_back({{"place", f.place}, {"message", f.message}});
    }
    return out;
}

} // namespace bramleymux
