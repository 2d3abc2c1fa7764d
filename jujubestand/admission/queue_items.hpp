#ifndef JUJUBESTAND_ADMISSION_QUEUE_ITEMS_HPP
#define JUJUBESTAND_ADMISSION_QUEUE_ITEMS_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/admission/queue.hpp>

/// \brief Bookkeeping of queued items by class, team and expiry. Internal to
/// the admission queue.
namespace jujubestand::admission
{

/// \brief Index of the class of a priority; higher values share the last one.
[[nodiscard]] std::size_t class_of(std::uint8_t priority);

/// \brief Expected time in which the engine prefills this many tokens.
[[nodiscard]] microseconds prefill_time(queue_state const& state,
                                        std::uint64_t tokens);

/// \brief Time from which an item can no longer meet its deadlines.
[[nodiscard]] expiry expiry_of(queue_state const& state,
                               queue_item const& item);

/// \brief Appends an item to the queue of its team.
void push_item(queue_state& state, queue_item const& item);

/// \brief Removes an item at any position of its team's queue.
void remove_item(queue_state& state, queue_item const& item);

/// \brief Next item of a class by deficit round robin; null if the class is
/// empty. Adds the quantum of each turn that begins.
[[nodiscard]] queue_item const* front_of(queue_state const& state,
                                         class_queue& priority_class);

/// \brief Removes the item returned by `front_of` and subtracts its tokens from
/// its team's deficit.
void pop_front(queue_state& state, class_queue& priority_class,
               queue_item const& item);

} // namespace jujubestand::admission

#endif
