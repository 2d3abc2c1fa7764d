#ifndef JUJUBESTAND_CONFIG_TEST_FOLD_MODEL_HPP
#define JUJUBESTAND_CONFIG_TEST_FOLD_MODEL_HPP

#include <jujubestand/config/fold.hpp>
#include <jujubestand/config/validation.hpp>
#include <string>
#include <vector>

namespace jujubestand::config::test
{

inline change set_pool(std::string const& id, double weight = 0.5)
{
    change made;
    made.kind = change_kind::set_pool;
    made.pool_row.id = pool_id(id);
    made.pool_row.tail_weight = weight;
    return made;
}

inline change set_route(std::string const& id, std::string const& pool,
                        std::vector<team_id> teams = {},
                        std::vector<model_id> models = {},
                        std::string const& prefix = {})
{
    change made;
    made.kind = change_kind::set_route;
    made.route_row.id = route_id(id);
    made.route_row.pool = pool_id(pool);
    made.route_row.teams = std::move(teams);
    made.route_row.models = std::move(models);
    made.route_row.path_prefix = prefix;
    return made;
}

inline change delete_pool(std::string const& id)
{
    change made;
    made.kind = change_kind::delete_pool;
    made.pool_row.id = pool_id(id);
    return made;
}

inline change delete_route(std::string const& id)
{
    change made;
    made.kind = change_kind::delete_route;
    made.route_row.id = route_id(id);
    return made;
}

/// \brief A stream that keeps all records for the model and drops old ones
/// for readers.
struct model_log
{
    std::vector<platform::log_record> records;
    std::uint64_t first = 1;

    log_offset append(std::string bytes)
    {
        log_offset const offset(this->records.size() + 1);
        wall_time const at(std::chrono::milliseconds(offset.value * 1'000));
        this->records.push_back({offset, at, std::move(bytes)});
        return offset;
    }
};

/// \brief The naive version: every record from the first on, nothing else.
struct naive_fold
{
    tables content;
    std::vector<log_offset> accepted;

    void take(platform::log_record const& read)
    {
        reason why;
        auto const content_of = unpack_record(read.bytes, why);
        if (!content_of)
            return;
        std::optional<tables> changed;
        if (auto const* made = std::get_if<edit>(&*content_of))
        {
            if (made->base == this->content.version)
                changed = apply(this->content, *made, why);
        }
        if (auto const* whole = std::get_if<restore>(&*content_of))
        {
            if (is_valid(whole->content, why))
                changed = whole->content;
        }
        if (!changed)
            return;
        this->content = *changed;
        this->content.version = read.offset;
        this->accepted.push_back(read.offset);
    }
};

inline naive_fold naive_up_to(model_log const& log, std::uint64_t last)
{
    naive_fold naive;
    for (std::uint64_t at = 0; at < last; ++at)
        naive.take(log.records[at]);
    return naive;
}

} // namespace jujubestand::config::test

#endif
