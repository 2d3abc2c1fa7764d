#ifndef JUJUBESTAND_CORE_RECENT_MAP_HPP
#define JUJUBESTAND_CORE_RECENT_MAP_HPP

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace jujubestand
{

/// \brief A map of bounded size that forgets what was used least recently.
template <class Key, class Value>
class recent_map
{
public:
    explicit recent_map(std::size_t size_limit)
        : limit(size_limit)
    {
    }

    /// \brief The value of `key`, now the most recent, or null. Valid until
    /// the next `insert` or `erase`.
    [[nodiscard]] Value* find(Key const& key)
    {
        auto const place = this->index.find(key);
        if (place == this->index.end())
            return nullptr;
        this->order.splice(this->order.begin(), this->order, place->second);
        return &place->second->second;
    }

    /// \brief The value of `key`, its age unchanged, or null.
    [[nodiscard]] Value const* peek(Key const& key) const
    {
        auto const place = this->index.find(key);
        return place == this->index.end() ? nullptr : &place->second->second;
    }

    /// \brief Puts `value` in, over a present one. \returns where it is
    Value& insert(Key const& key, Value value)
    {
        if (Value* const present = this->find(key))
        {
            *present = std::move(value);
            return *present;
        }
        this->order.emplace_front(key, std::move(value));
        this->index.emplace(key, this->order.begin());
        if (this->order.size() > this->limit && this->order.size() > 1)
        {
            this->index.erase(this->order.back().first);
            this->order.pop_back();
        }
        return this->order.front().second;
    }

    /// \brief Takes `key` out. \returns whether it was there
    bool erase(Key const& key)
    {
        auto const place = this->index.find(key);
        if (place == this->index.end())
            return false;
        this->order.erase(place->second);
        this->index.erase(place);
        return true;
    }

    /// \brief Forgets everything.
    void clear() noexcept
    {
        this->index.clear();
        this->order.clear();
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->order.size();
    }

private:
    using entries = std::list<std::pair<Key, Value>>;

    std::size_t limit;
    entries order;
    std::unordered_map<Key, typename entries::iterator> index;
};

} // namespace jujubestand

#endif
