#include "explorer.hpp"

#include <map>
#include <set>
#include <xxhash.h>

namespace jujubestand::claims::test
{

namespace
{

struct search
{
    explorer_limits const& limits;
    exploration found;
    std::unordered_map<std::uint64_t, int> seen;
    std::vector<std::string> path;

    void count(world const& at)
    {
        ++this->found.states;
        this->found.begun_states += at.executions > 0 ? 1 : 0;
        this->found.finished_states += at.whole_answers > 0 ? 1 : 0;
    }

    void visit(world const& at, int depth)
    {
        std::string const bytes = fingerprint(at);
        std::uint64_t const mark = XXH3_64bits(bytes.data(), bytes.size());
        auto const [place, is_new] = this->seen.try_emplace(mark, depth);
        if (is_new)
            this->count(at);
        else if (place->second >= depth)
            return;
        place->second = depth;
        if (depth == 0)
            return;
        for (auto const& [name, next] : successors(at, this->limits))
        {
            this->step(name, next, depth);
            if (!this->found.broken.empty())
                return;
        }
    }

    void step(std::string const& name, world const& next, int depth)
    {
        ++this->found.steps;
        this->path.push_back(name);
        if (next.broken.empty())
            this->visit(next, depth - 1);
        else
        {
            this->found.broken = next.broken;
            this->found.trace = this->path;
        }
        this->path.pop_back();
    }
};

} // namespace

exploration explore(explorer_limits const& limits)
{
    search walk{limits, {}, {}, {}};
    walk.visit(first_world(limits), limits.depth);
    return walk.found;
}

} // namespace jujubestand::claims::test
