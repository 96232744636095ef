#include "entry_query.hpp"

#include "config.hpp"

#include <algorithm>

/// The end of a query: its answer, its failure, or its cancellation.
namespace bramleymux
{

namespace
{

constexpr int first_client_error = 400;

} // namespace

void
entry_query::answer_success(const gather_progress& p)
{
    if (gathers())
    {
        answer_gathered(p);
        return;
    }
    finish(context_.wire.write_answer(std::move(shards_[0].reply)),
        event::request_answered, "whole");
}

void
entry_query::answer_gathered(const gather_progress& p)
{
    gathered_answer answer;
    std::vector<std::string_view> parts;
    for (const shard_query& shard : shards_)
    {
        if (shard.answered)
        {
            answer.proofs.push_back(shard.reply.proof);
            parts.push_back(shard.reply.body);
        }
    }
    parts.insert(parts.end(), merged_records_.begin(), merged_records_.end());
    answer.missing = p.shards - p.answered;
    answer.records = merge_records(parts, route_.result_limit);
    const bool whole = answer.missing == 0;
    context_.counters.add(
        whole ? counter::answers_whole : counter::answers_partial);
    finish(context_.wire.write_gathered(std::move(answer)),
        whole ? event::request_answered : event::query_partial,
        whole ? "whole" : "partial");
}

bool
entry_query::may_have_run() const
{
    return std::any_of(shards_.begin(), shards_.end(),
        [](const shard_query& shard)
        {
            return shard.answered || shard.possible_runs > 0 ||
                   !shard.sends.empty() || shard.delegated;
        });
}

/// Whether a target has failed the request with a reply that is the caller's
/// answer.
bool
entry_query::has_target_failure() const
{
    const shard_query& first = shards_.front();
    return !gathers() && first.reply.status >= first_client_error &&
           !first.reply.proof.empty() && first.sends.empty();
}

/// `code` applies if the request may have run.
void
entry_query::answer_failure(problem_code code)
{
    shard_query& first = shards_.front();
    const bool has_failure = has_target_failure();
    // A failure is kept only of a target that may have run the request, so a
    // status that denies this must not reach the caller.
    const bool withheld = has_failure && promises_not_run(first.reply.status);
    if (has_failure && !withheld)
    {
        finish(context_.wire.write_answer(std::move(first.reply)),
            event::request_failed, "target returned an error");
        return;
    }
    const bool ran = may_have_run();
    code = ran ? code : problem_code::no_target;
    context_.counters.add(
        ran ? counter::failed_unknown : counter::refused_not_run);
    context_.counters.add(counter::promises_withheld, withheld ? 1 : 0);
    finish(
        make_entry_problem(code, ran ? run_state::unknown : run_state::not_run,
            to_string(first.reason), context_.random,
            ran ? duration::zero()
                : time_until_answerable().value_or(duration::zero())),
        ran ? event::request_failed : event::query_refused,
        withheld ? "a target that may have run the request said it had not"
                 : problem_code_names[static_cast<std::size_t>(code)]);
}

void
entry_query::finish(http_reply&& reply, event what, std::string_view reason)
{
    finished_ = true;
    timer_.cancel();
    abandon_sends();
    const duration took = monotonic_clock::now() - started_;
    context_.counters.observe(latency_kind::query, took);
    if (took > route_.target_latency)
    {
        context_.counters.add(counter::requests_late);
    }
    log_outcome(what, reply.status, reason);
    release_bodies();
    const answer_handler answer = std::move(answer_);
    answer_ = nullptr;
    answer(std::move(reply));
}

/// Pending sends may keep the query for a while, but no longer need these.
void
entry_query::release_bodies()
{
    std::string().swap(message_.body);
    for (shard_query& shard : shards_)
    {
        shard.reply = {};
    }
    merged_records_ = {};
}

/// Ends work whose result is no longer needed. A send of a non-idempotent
/// request gets `give_up_after_` from now to finish before its connection is
/// closed, since closing it would not show whether the request ran.
void
entry_query::abandon_sends()
{
    const duration linger =
        route_.idempotent ? config::abandon_linger : give_up_after_;
    for (shard_query& shard : shards_)
    {
        for (const active_send& send : shard.sends)
        {
            context_.pool.abandon(send.id, linger);
        }
    }
    for (const delegation& d : delegations_)
    {
        context_.delegates.abandon(d.id);
    }
    delegations_.clear();
}

void
entry_query::end_by(monotonic_time exit_at)
{
    last_send_at_ = exit_at - completion_time(stats_, route_);
}

void
entry_query::answer_now()
{
    if (finished_)
    {
        return;
    }
    gather_progress p = progress(monotonic_clock::now());
    p.open = 0;
    if (next_step(p) == gather_step::answer)
    {
        answer_success(p);
    }
    else
    {
        answer_failure(problem_code::outcome_unknown);
    }
}

void
entry_query::cancel()
{
    if (finished_)
    {
        return;
    }
    finished_ = true;
    timer_.cancel();
    abandon_sends();
    context_.counters.add(counter::requests_gave_up);
    log_outcome(event::caller_left, 0, "caller closed the connection");
    release_bodies();
    answer_ = nullptr;
}

} // namespace bramleymux
