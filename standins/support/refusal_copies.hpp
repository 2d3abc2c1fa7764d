#ifndef JUJUBESTAND_STANDINS_SUPPORT_REFUSAL_COPIES_HPP
#define JUJUBESTAND_STANDINS_SUPPORT_REFUSAL_COPIES_HPP

#include <cstdint>
#include <event2/http.h>
#include <set>
#include <string>
#include <utility>

namespace jujubestand::standins
{

/// \brief Where a server may write the copy of a refusal.
enum class copy_scope : std::uint8_t
{
    any_connection,  ///< on that of the request under way
    same_connection, ///< only on that of the refusal
};

/// \brief Refusals that a server may write once more.
struct refusal_copies
{
    copy_scope scope = copy_scope::any_connection;
    /// Calls that were refused.
    std::set<std::string> calls{};
    /// The same, by connection of the refusal.
    std::set<std::pair<std::string, std::string>> calls_by_connection{};
};

/// \brief Refuses a call as not run.
void refuse(refusal_copies& copies, evhttp_request* request,
            std::string const& id);

/// \brief Whether the copy of a call's refusal may come before its answer.
[[nodiscard]] bool may_copy(refusal_copies const& copies,
                            evhttp_request* request, std::string const& id);

/// \brief Writes the copy of a call's refusal at once; before its answer.
void write_copy(evhttp_request* request, std::string const& id);

} // namespace jujubestand::standins

#endif
