#ifndef JUJUBESTAND_CORE_FAILURE_POINT_HPP
#define JUJUBESTAND_CORE_FAILURE_POINT_HPP

#include <array>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/verdict.hpp>

namespace jujubestand
{

/// \brief Where in its life an attempt failed.
enum class failure_point : std::uint8_t
{
    entry_refused,
    entry_deadline_before_send,
    link_connect_refused,
    link_cut_before_send,
    link_cut_after_send,
    link_deadline_after_send,
    sidecar_refused,
    sidecar_queue_dropped,
    sidecar_deadline_in_queue,
    sidecar_cancelled_in_queue,
    upstream_connect_refused,
    upstream_write_cut,
    upstream_read_cut,
    upstream_timeout,
    upstream_cancelled,
    answer_invalid,
};

/// \brief What one failure point yields: one row per point.
struct failure_row
{
    failure_point point;
    std::string_view name;
    verdict outcome;
    reason_code code;
};

/// \brief The one table from which every verdict on a failure is read.
inline constexpr std::array<failure_row, 16> failure_table{{
    {failure_point::entry_refused, "entry_refused", verdict::not_run,
     reason_code::malformed_request},
    {failure_point::entry_deadline_before_send, "entry_deadline_before_send",
     verdict::not_run, reason_code::deadline_passed},
    {failure_point::link_connect_refused, "link_connect_refused",
     verdict::not_run, reason_code::link_unreachable},
    {failure_point::link_cut_before_send, "link_cut_before_send",
     verdict::not_run, reason_code::link_cut_before_send},
    {failure_point::link_cut_after_send, "link_cut_after_send",
     verdict::may_have_run, reason_code::link_cut_after_send},
    {failure_point::link_deadline_after_send, "link_deadline_after_send",
     verdict::may_have_run, reason_code::deadline_passed},
    {failure_point::sidecar_refused, "sidecar_refused", verdict::not_run,
     reason_code::queue_full},
    {failure_point::sidecar_queue_dropped, "sidecar_queue_dropped",
     verdict::not_run, reason_code::queue_full},
    {failure_point::sidecar_deadline_in_queue, "sidecar_deadline_in_queue",
     verdict::not_run, reason_code::deadline_passed},
    {failure_point::sidecar_cancelled_in_queue, "sidecar_cancelled_in_queue",
     verdict::not_run, reason_code::caller_gone},
    {failure_point::upstream_connect_refused, "upstream_connect_refused",
     verdict::not_run, reason_code::upstream_unreachable},
    {failure_point::upstream_write_cut, "upstream_write_cut",
     verdict::may_have_run, reason_code::upstream_write_cut},
    {failure_point::upstream_read_cut, "upstream_read_cut",
     verdict::may_have_run, reason_code::upstream_read_cut},
    {failure_point::upstream_timeout, "upstream_timeout", verdict::may_have_run,
     reason_code::upstream_timeout},
    {failure_point::upstream_cancelled, "upstream_cancelled",
     verdict::may_have_run, reason_code::caller_gone},
    {failure_point::answer_invalid, "answer_invalid", verdict::may_have_run,
     reason_code::answer_crossed},
}};

/// \brief Row of a failure point.
[[nodiscard]] constexpr failure_row const& row_of(failure_point point) noexcept
{
    return failure_table[static_cast<std::size_t>(point)];
}

} // namespace jujubestand

#endif
