// Runs a booking at most once with a claimant, over a log that is a vector:
// the second call of the same key is answered with the first one's outcome.

#include <iostream>
#include <jujubestand/claims/claimant.hpp>
#include <string>
#include <variant>
#include <vector>

namespace
{

using namespace jujubestand;

struct small_log
{
    std::vector<claims::log_record> records;
};

struct desk
{
    claims::claimant claimant;
    small_log log;
    int executions = 0;
    std::string last_answer;
};

claims::moment now_at(int second)
{
    return claims::moment{mono_time(std::chrono::seconds(second)),
                          wall_time(std::chrono::seconds(1'000 + second))};
}

void carry_out(desk& at, claims::claim_effects const& effects, int second);

void read_log(desk& at, int second)
{
    claims::records_read batch;
    batch.first = log_offset(1);
    batch.next = log_offset(at.log.records.size() + 1);
    batch.records = at.log.records;
    carry_out(at, claims::read(at.claimant, batch, now_at(second)), second);
}

void append(desk& at, claims::append_wanted const& wanted, int second)
{
    log_offset const offset(at.log.records.size() + 1);
    at.log.records.push_back({offset, now_at(second).wall, wanted.bytes});
    carry_out(at,
              claims::answer(at.claimant, {wanted.id, offset}, now_at(second)),
              second);
    read_log(at, second);
}

void run(desk& at, claims::start_wanted const& wanted, int second)
{
    ++at.executions;
    claims::call_ended ended;
    ended.request = wanted.request;
    ended.outcome =
        claims::make_outcome(200, "text/plain", "booked for Tuesday", 512);
    ended.outcome.result = verdict::ran;
    carry_out(at, claims::end(at.claimant, ended, now_at(second)), second);
}

void carry_out(desk& at, claims::claim_effects const& effects, int second)
{
    for (auto const& effect : effects)
    {
        if (auto const* wanted = std::get_if<claims::append_wanted>(&effect))
            append(at, *wanted, second);
        else if (auto const* start = std::get_if<claims::start_wanted>(&effect))
            run(at, *start, second);
        else if (auto const* told = std::get_if<claims::answer_wanted>(&effect))
            at.last_answer =
                told->recorded ? told->recorded->answer : to_text(told->why);
    }
}

void offer(desk& at, std::uint64_t request, int second)
{
    claims::call_offered call;
    call.request = request_id{1, request};
    call.key = digest_of("booking 17");
    call.body = digest_of("three tins on Tuesday");
    call.key_time = now_at(second).wall;
    call.deadline = now_at(second + 30).mono;
    carry_out(at, claims::offer(at.claimant, call, now_at(second)), second);
}

} // namespace

int main()
{
    desk at;
    at.claimant.options.claimant = incarnation_id(1);
    read_log(at, 0);
    offer(at, 1, 1);
    // The outcome waits for the appends' distance.
    carry_out(at, claims::tick(at.claimant, now_at(2)), 2);
    offer(at, 2, 3);
    std::cout << "executions: " << at.executions
              << "\nanswer to the second call: " << at.last_answer << '\n';
    return at.executions == 1 && at.last_answer == "booked for Tuesday" ? 0 : 1;
}
