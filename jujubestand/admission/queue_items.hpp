#ifndef JUJUBESTAND_ADMISSION_QUEUE_ITEMS_HPP
#define JUJUBESTAND_ADMISSION_QUEUE_ITEMS_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/admission/queue.hpp>

/// \brief Items of a queue by class, team and expiry; for the queue only.
namespace jujubestand::admission
{

/// \brief Place of the class that a priority belongs to.
[[nodiscard]] std::size_t class_of(std::uint8_t priority);

/// \brief Time in which the engine reads a prompt of that many tokens.
[[nodiscard]] microseconds compute_time(queue_state const& state,
                                        std::uint64_t tokens);

/// \brief When an item has nothing to wait for any more.
[[nodiscard]] expiry expiry_of(queue_state const& state,
                               queue_item const& item);

/// \brief Adds an item behind those of its team.
void push_item(queue_state& state, queue_item const& item);

/// \brief Takes an item out, wherever it stands.
void remove_item(queue_state& state, queue_item const& item);

/// \brief The item of a class whose turn it is; null if there is none.
[[nodiscard]] queue_item const* front_of(queue_state const& state,
                                         class_queue& group);

/// \brief Takes out the item whose turn it is.
void pop_front(queue_state& state, class_queue& group, queue_item const& item);

} // namespace jujubestand::admission

#endif
