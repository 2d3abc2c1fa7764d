#ifndef JUJUBESTAND_CORE_BOUNDED_UNPACK_HPP
#define JUJUBESTAND_CORE_BOUNDED_UNPACK_HPP

#include <cstddef>
#include <msgpack.hpp>
#include <string_view>

namespace jujubestand
{

/// \brief Unpacks msgpack bytes without trusting the sizes they announce.
///
/// The library reserves an array before it reads the elements; five bytes
/// could ask for gigabytes. No array, map or text has more elements than
/// `bytes` has bytes.
/// \param keep_in_place which texts stay within `bytes`; null: none
/// \throws msgpack::unpack_error
[[nodiscard]] inline msgpack::object_handle
bounded_unpack(std::string_view bytes,
               msgpack::unpack_reference_func keep_in_place = nullptr)
{
    constexpr std::size_t depth_limit = 12;
    std::size_t const size = bytes.size();
    msgpack::unpack_limit const limit(size, size, size, size, size,
                                      depth_limit);
    return msgpack::unpack(bytes.data(), size, keep_in_place, nullptr, limit);
}

} // namespace jujubestand

#endif
