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
    const bool denied = result.outcome == send_outcome::shed ||
                        result.outcome == send_outcome::misdirected;
    return denied ? part_state::rejected : part_state::unsent;
}

} // namespace

gather_job::gather_job(
    entry_context& context, gather_order&& order, reply_handler reply)
    : context_(context), order_(std::move(order)), reply_(std::move(reply)),
      timer_(context.loop), started_(monotonic_clock::now()),
      sends_(order_.shards.size())
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
    if (with_room < order_.least_parts)
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
        finish();
        return;
    }
    timer_.expires_at(started_ + order_.reply_within);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->finished_)
            {
                self->finish();
            }
        });
}

void
gather_job::refuse(std::size_t with_room)
{
    finished_ = true;
    context_.counters.add(counter::gather_orders_refused);
    const monotonic_time now = monotonic_clock::now();
    if (context_.log.admits(event::gather_order_refused, now))
    {
        context_.log.write(event::gather_order_refused,
            {{"request", order_.message.id}, {"asked", order_.shards.size()},
                {"with_room", with_room}, {"least", order_.least_parts}});
    }
    http_reply out;
    out.status = info_of(problem_code::overloaded).status;
    reply_(std::move(out));
}

void
gather_job::send(std::size_t shard)
{
    target_state* target =
        context_.pool.choose(order_.shards[shard], {}, choice_scope::own_zone);
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
    s.id = context_.pool.send(*target, std::move(order));
}

void
gather_job::on_result(std::size_t shard, send_result&& result)
{
    shard_send& s = sends_[shard];
    s.open = false;
    s.part.state = state_of(result);
    if (s.part.state == part_state::answered)
    {
        s.part.proof = std::move(result.reply.proof);
        s.part.took = result.took;
        s.records = std::move(result.reply.body);
    }
    if (!finished_ && open_count() == 0)
    {
        finish();
    }
}

std::size_t
gather_job::open_count() const
{
    return static_cast<std::size_t>(std::count_if(sends_.begin(), sends_.end(),
        [](const shard_send& s) { return s.open; }));
}

void
gather_job::finish()
{
    finished_ = true;
    timer_.cancel();
    gather_parts out;
    std::vector<std::string_view> bodies;
    for (shard_send& s : sends_)
    {
        s.part.state = s.open ? part_state::unknown : s.part.state;
        bodies.emplace_back(s.records);
        out.parts.push_back(std::move(s.part));
    }
    out.records = merge_records(bodies, order_.result_limit);
    abandon_sends();
    http_reply reply;
    reply.status = 200;
    reply.fields.push_back({"Content-Type", "application/cbor"});
    reply.body = encode_parts(out);
    reply_(std::move(reply));
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
        finished_ = true;
        timer_.cancel();
        abandon_sends();
    }
}

} // namespace bramleymux
