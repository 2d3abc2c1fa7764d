#ifndef JUJUBESTAND_CORE_IDS_HPP
#define JUJUBESTAND_CORE_IDS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jujubestand
{

/// \brief A name of one kind of thing; names of two kinds do not mix.
template <class Tag>
struct name_id
{
    std::string text;

    name_id() = default;
    explicit name_id(std::string value)
        : text(std::move(value))
    {
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return this->text.empty();
    }

    auto operator<=>(name_id const&) const = default;

    MSGPACK_DEFINE_ARRAY(text)
};

/// \brief A number of one kind of thing; numbers of two kinds do not mix.
template <class Tag>
struct number_id
{
    std::uint64_t value = 0;

    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t number) noexcept
        : value(number)
    {
    }

    auto operator<=>(number_id const&) const = default;

    MSGPACK_DEFINE_ARRAY(value)
};

/// \brief A machine that runs one process of the system.
using instance_id = name_id<struct instance_tag>;
/// \brief A data centre.
using data_centre_id = name_id<struct data_centre_tag>;
/// \brief A customer of the operators, the owner of requests.
using team_id = name_id<struct team_tag>;
/// \brief A model engine or plain service that requests are routed to.
using upstream_id = name_id<struct upstream_tag>;
/// \brief A row of the route table.
using route_id = name_id<struct route_tag>;
/// \brief A row of the pool table.
using pool_id = name_id<struct pool_tag>;
/// \brief A model's name as callers write it.
using model_id = name_id<struct model_tag>;

/// \brief One life of a process or engine; a restart makes a new one.
using incarnation_id = number_id<struct incarnation_tag>;
/// \brief Position of a record on one stream of the platform's log.
using log_offset = number_id<struct log_offset_tag>;

/// \brief 128 bits that name one request from entry to engine and back.
struct request_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(request_id const&) const = default;

    MSGPACK_DEFINE_ARRAY(high, low)
};

/// \brief 32 lower-case hexadecimal digits.
[[nodiscard]] std::string to_text(request_id const& id);

/// \brief Reads what `to_text` wrote; nothing for any other text.
[[nodiscard]] std::optional<request_id>
request_id_from_text(std::string_view text);

} // namespace jujubestand

template <class Tag>
struct std::hash<jujubestand::name_id<Tag>>
{
    std::size_t operator()(jujubestand::name_id<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.text);
    }
};

template <class Tag>
struct std::hash<jujubestand::number_id<Tag>>
{
    std::size_t operator()(jujubestand::number_id<Tag> const& id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

template <>
struct std::hash<jujubestand::request_id>
{
    std::size_t operator()(jujubestand::request_id const& id) const noexcept
    {
        return static_cast<std::size_t>(id.high ^
                                        (id.low * 0x9e3779b97f4a7c15ULL));
    }
};

#endif
