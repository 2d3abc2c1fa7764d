#ifndef JUJUBESTAND_CORE_SLOT_MAP_HPP
#define JUJUBESTAND_CORE_SLOT_MAP_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace jujubestand
{

/// \brief Address of an object in a `slot_map`; stale once it is erased.
template <class Tag>
struct slot_id
{
    std::uint32_t slot = 0;
    std::uint32_t generation = 0;

    auto operator<=>(slot_id const&) const = default;
};

/// \brief Owns objects and hands out generation-checked ids for them.
///
/// A pointer from `find` is valid until the next `insert` or `erase`; ids
/// are what is kept across turns of the loop. Generation 0 is never used,
/// so a default id addresses nothing.
template <class T, class Tag>
class slot_map
{
public:
    using id_type = slot_id<Tag>;

    /// \brief Takes `value` in. \returns its id
    id_type insert(T value)
    {
        if (this->free_slots.empty())
        {
            this->slots.emplace_back();
            this->free_slots.push_back(
                static_cast<std::uint32_t>(this->slots.size() - 1));
        }
        std::uint32_t const slot = this->free_slots.back();
        this->free_slots.pop_back();
        entry& place = this->slots[slot];
        ++place.generation;
        place.value.emplace(std::move(value));
        ++this->live;
        return id_type{slot, place.generation};
    }

    /// \brief The object of `id`, or null if it was erased.
    [[nodiscard]] T* find(id_type id) noexcept
    {
        if (id.slot >= this->slots.size())
            return nullptr;
        entry& place = this->slots[id.slot];
        if (place.generation != id.generation || !place.value)
            return nullptr;
        return &*place.value;
    }

    /// \brief Erases the object of `id`. \returns whether there was one
    bool erase(id_type id)
    {
        if (this->find(id) == nullptr)
            return false;
        // The object ends last: its destructor may look ids up here.
        [[maybe_unused]] std::optional<T> const last =
            std::move(this->slots[id.slot].value);
        this->slots[id.slot].value.reset();
        this->free_slots.push_back(id.slot);
        --this->live;
        return true;
    }

    /// \brief Number of live objects.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->live;
    }

    /// \brief Ids of all live objects, in slot order.
    [[nodiscard]] std::vector<id_type> ids() const
    {
        std::vector<id_type> result;
        for (std::size_t slot = 0; slot < this->slots.size(); ++slot)
        {
            if (this->slots[slot].value)
                result.push_back(id_type{static_cast<std::uint32_t>(slot),
                                         this->slots[slot].generation});
        }
        return result;
    }

private:
    struct entry
    {
        std::uint32_t generation = 0;
        std::optional<T> value;
    };

    std::vector<entry> slots;
    std::vector<std::uint32_t> free_slots;
    std::size_t live = 0;
};

} // namespace jujubestand

#endif
