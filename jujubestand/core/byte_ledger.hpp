#ifndef JUJUBESTAND_CORE_BYTE_LEDGER_HPP
#define JUJUBESTAND_CORE_BYTE_LEDGER_HPP

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace jujubestand
{

/// \brief Bytes that a process keeps for each of several peers, against a limit
/// for all of them together.
template <class Id>
class byte_ledger
{
public:
    /// \param bytes 0: no limit
    void set_limit(std::size_t bytes) noexcept
    {
        this->limit = bytes;
    }

    /// \brief States what is kept for a peer now.
    void set(Id id, std::size_t bytes)
    {
        auto const known = this->kept.find(id);
        std::size_t const before =
            known == this->kept.end() ? 0 : known->second;
        this->sum += bytes;
        this->sum -= before;
        if (bytes > 0)
            this->kept[id] = bytes;
        else if (known != this->kept.end())
            this->kept.erase(known);
    }

    /// \brief Nothing is kept for a peer any more.
    void erase(Id id)
    {
        this->set(id, 0);
    }

    /// \brief Bytes that are kept for all peers.
    [[nodiscard]] std::size_t total() const noexcept
    {
        return this->sum;
    }

    /// \brief Peers to give up once the limit is passed, those with most bytes
    /// first: the others keep half of the limit, so that the next byte is not
    /// one too many again.
    [[nodiscard]] std::vector<Id> excess() const
    {
        return this->largest(this->limit / 2,
                             [](Id, std::size_t)
                             {
                                 return true;
                             });
    }

    /// \brief The same, but only of peers that may be given up, and no more
    /// than needed to come back to the limit.
    /// \param may_go takes a peer and what is kept for it
    template <class Condition>
    [[nodiscard]] std::vector<Id> excess_of(Condition may_go) const
    {
        return this->largest(this->limit, may_go);
    }

private:
    template <class Condition>
    std::vector<Id> largest(std::size_t target, Condition may_go) const
    {
        std::vector<Id> result;
        if (this->limit == 0 || this->sum <= this->limit)
            return result;
        std::vector<std::pair<std::size_t, Id>> rows;
        for (auto const& [id, bytes] : this->kept)
        {
            if (may_go(id, bytes))
                rows.emplace_back(bytes, id);
        }
        std::sort(rows.rbegin(), rows.rend());
        std::size_t left = this->sum;
        for (auto const& [bytes, id] : rows)
        {
            if (left <= target)
                break;
            left -= bytes;
            result.push_back(id);
        }
        return result;
    }

    std::map<Id, std::size_t> kept;
    std::size_t limit = 0;
    std::size_t sum = 0;
};

} // namespace jujubestand

#endif
