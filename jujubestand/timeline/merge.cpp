#include <jujubestand/timeline/merge.hpp>

#include <iterator>
#include <queue>
#include <tuple>

namespace jujubestand::timeline
{

namespace
{

// The first event of one list that is not merged yet.
struct head
{
    hybrid_time stamp;
    std::size_t part = 0;
    std::size_t at = 0;
};

struct is_later
{
    bool operator()(head const& left, head const& right) const noexcept
    {
        return std::tie(left.stamp, left.part) >
               std::tie(right.stamp, right.part);
    }
};

} // namespace

// Each list is in causal order by itself, and stamps order effects after
// their causes between lists; so heads suffice.
std::vector<stamped_event>
merge_processes(std::vector<std::vector<stamped_event>> parts)
{
    std::priority_queue<head, std::vector<head>, is_later> heads;
    std::size_t total = 0;
    for (std::size_t part = 0; part < parts.size(); ++part)
    {
        total += parts[part].size();
        if (!parts[part].empty())
            heads.push({parts[part].front().stamp, part, 0});
    }
    std::vector<stamped_event> merged;
    merged.reserve(total);
    while (!heads.empty())
    {
        head next = heads.top();
        heads.pop();
        auto& part = parts[next.part];
        merged.push_back(std::move(part[next.at]));
        if (++next.at < part.size())
            heads.push({part[next.at].stamp, next.part, next.at});
    }
    return merged;
}

} // namespace jujubestand::timeline
