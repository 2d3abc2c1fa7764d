#include <bench/placement/fleet.hpp>

namespace jujubestand::bench
{

namespace
{

/// Eight teams, a few of them large; 50 long texts each.
workload nested_prompts()
{
    workload shape;
    shape.teams = 8;
    shape.team_skew = 1.2;
    shape.documents_per_team = 50;
    shape.document_skew = 0.9;
    shape.preamble_bytes = 4'000;
    shape.instructions_bytes = 2'000;
    shape.document_bytes = 12'000;
    shape.question_bytes = 400;
    shape.max_tokens = 32;
    shape.chat_share = 1.0;
    return shape;
}

} // namespace

fleet qoyma()
{
    fleet result;
    result.name = "qoyma";
    result.data_centres = {"almaty-a", "almaty-b", "shymkent-a"};
    result.engines = 10;
    result.tail_weight = 0.8;
    result.prompts = nested_prompts();
    result.capacity = 100;
    return result;
}

fleet quintela()
{
    fleet result;
    result.name = "quintela";
    result.data_centres = {"ciudad-vieja", "pocitos", "la-teja"};
    result.engines = 20;
    result.centre_distance_us = 500;
    result.caller_distance_us = 3'000;
    result.tail_weight = 0.2;
    result.prompts = nested_prompts();
    result.prompts.documents_per_team = 100;
    result.prompts.document_bytes = 16'000;
    result.capacity = 150;
    return result;
}

} // namespace jujubestand::bench
