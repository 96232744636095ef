#include "gather_job.hpp"

#include "config.hpp"
#include "gather.hpp"
#include "problem.hpp"

#include <algorithm>

namespace bramleymux
{

namespace
{

part_state
state_of(const send_result& result)
{
    if (is_part(result))
    {
        return part_state::answered;
    }
    if (result.may_have_run)
    {
        return part_state::unknown;
    }
    const bool rejected = result.outcome == send_outcome::shed ||
                          result.outcome == send_outcome::misdirected;
    return rejected ? part_state::rejected : part_state::unsent;
}

} // namespace

gather_job::gather_job(entry_context& context, std::uint64_t id,
    gather_order&& order, reply_handler reply)
    : context_(context), order_(std::move(order)), reply_(std::move(reply)),
      timer_(context.loop), started_(monotonic_clock::now()),
      sends_(order_.shards.size()), id_(id)
{
}

void
gather_job::start()
{
    context_.counters.add(counter::gather_orders_received);
    const auto with_room = static_cast<std::size_t>(
        std::count_if(order_.shards.begin(), order_.shards.end(),
            [this](const std::string& shard)
            { return context_.pool.has_room(shard, choice_scope::own_zone); }));
    if (with_room < order_.min_shards)
    {
        refuse(with_room);
        return;
    }
    for (std::size_t i = 0; i < sends_.size(); ++i)
    {
        send(i);
    }
    if (open_count() == 0)
    {
        answer_first();
        return;
    }
    arm_timer(started_ + order_.reply_within);
}

void
gather_job::arm_timer(monotonic_time at)
{
    timer_.expires_at(at);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->finished_)
            {
                self->answer_next();
            }
        });
}

void
gather_job::answer_next()
{
    if (first_answered_)
    {
        answer_late_replies();
    }
    else
    {
        answer_first();
    }
}

void
gather_job::refuse(std::size_t with_room)
{
    finished_ = true;
    context_.counters.add(counter::gather_orders_refused);
    const monotonic_time now = monotonic_clock::now();
    if (context_.log.try_admit(event::gather_order_refused, now))
    {
        context_.log.write(event::gather_order_refused,
            {{"request", order_.message.id}, {"asked", order_.shards.size()},
                {"with_room", with_room}, {"least", order_.min_shards}});
    }
    http_reply out;
    out.status = info_of(problem_code::overloaded).status;
    reply_(std::move(out));
}

void
gather_job::send(std::size_t shard)
{
    // The own zone is preferred, but a target of it that is slow or fails gives
    // way to one of another zone: this VM has seen it more often than the VM
    // that sent the order.
    target_state* target = context_.pool.choose(order_.shards[shard], {});
    if (target == nullptr)
    {
        return;
    }
    const auto self = shared_from_this();
    send_order order;
    order.request_id = order_.message.id;
    order.bodiless = order_.message.method == "HEAD";
    order.expected = order_.expected;
    order.write = [self](const std::string& target_id)
    {
        const duration left =
            self->order_.message.time_left.value_or(duration::zero()) -
            (monotonic_clock::now() - self->started_);
        return self->finished_ || left <= duration::zero()
                   ? std::string()
                   : self->context_.wire.write_request(
                         self->order_.message, target_id, left);
    };
    order.done = [self, shard](send_result&& result)
    { self->on_result(shard, std::move(result)); };
    shard_send& s = sends_[shard];
    s.open = true;
    s.target_id = target->record.id;
    s.id = context_.pool.send(*target, std::move(order));
}

void
gather_job::on_result(std::size_t shard, send_result&& result)
{
    shard_send& s = sends_[shard];
    s.open = false;
    s.part.state = state_of(result);
    const bool replied = result.reply.status != 0;
    if (replied)
    {
        // Otherwise what this VM knows may be older than what the ordering VM
        // knows.
        s.part.notice = context_.pool.notice_of(s.target_id);
    }
    if (s.part.state == part_state::answered)
    {
        s.part.proof = std::move(result.reply.proof);
        s.part.took = result.took;
        s.part.records = std::move(result.reply.body);
    }
    // After the first answer, a late reply that the ordering VM has requested
    // is passed on at once: it may be the only one that VM still needs.
    if (!finished_ && (open_count() == 0 || first_answered_))
    {
        answer_next();
    }
}

std::size_t
gather_job::open_count() const
{
    return static_cast<std::size_t>(std::count_if(sends_.begin(), sends_.end(),
        [](const shard_send& s) { return s.open; }));
}

/// Answers with the merged records received so far. Pending sub-requests
/// continue until `rest_within`, so that their replies can be collected.
void
gather_job::answer_first()
{
    first_answered_ = true;
    const bool wait_for_late =
        open_count() > 0 && order_.rest_within > order_.reply_within;
    gather_parts out;
    std::vector<std::string_view> bodies;
    for (shard_send& s : sends_)
    {
        s.reported = s.part.state == part_state::answered;
        if (s.reported)
        {
            bodies.emplace_back(s.part.records);
        }
        gather_part part = s.part;
        part.records.clear();
        part.state = s.open ? part_state::unknown : part.state;
        out.parts.push_back(std::move(part));
    }
    out.records = merge_records(bodies, order_.result_limit);
    out.rest = wait_for_late ? id_ : 0;
    if (wait_for_late)
    {
        arm_timer(started_ + order_.rest_within);
    }
    else
    {
        end();
    }
    answer(out);
}

void
gather_job::collect(reply_handler reply)
{
    reply_ = std::move(reply);
    const bool has_new = std::any_of(sends_.begin(), sends_.end(),
        [](const shard_send& s)
        { return !s.reported && s.part.state == part_state::answered; });
    if (finished_ || has_new || open_count() == 0)
    {
        answer_late_replies();
    }
}

/// Passes on the late replies received so far if the ordering VM has requested
/// them, and ends the job when no more can follow.
void
gather_job::answer_late_replies()
{
    const bool late = monotonic_clock::now() >= started_ + order_.rest_within;
    const bool over = late || (reply_ && open_count() == 0);
    if (over)
    {
        end();
    }
    if (!reply_)
    {
        return;
    }
    gather_parts out;
    for (shard_send& s : sends_)
    {
        const bool is_new = !s.reported && s.part.state == part_state::answered;
        s.reported = s.reported || is_new;
        out.parts.push_back(is_new ? s.part : gather_part{});
    }
    out.rest = over ? 0 : id_;
    answer(out);
}

void
gather_job::answer(const gather_parts& parts)
{
    const reply_handler reply = std::move(reply_);
    reply_ = nullptr;
    http_reply out;
    out.status = 200;
    out.fields.push_back({"Content-Type", "application/cbor"});
    out.body = encode_parts(parts);
    reply(std::move(out));
}

void
gather_job::end()
{
    finished_ = true;
    timer_.cancel();
    abandon_sends();
}

void
gather_job::abandon_sends()
{
    for (const shard_send& s : sends_)
    {
        if (s.open)
        {
            context_.pool.abandon(s.id, config::abandon_linger);
        }
    }
}

void
gather_job::cancel()
{
    if (!finished_)
    {
        end();
    }
}

} // namespace bramleymux
