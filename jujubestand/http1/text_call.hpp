#ifndef JUJUBESTAND_HTTP1_TEXT_CALL_HPP
#define JUJUBESTAND_HTTP1_TEXT_CALL_HPP

#include <functional>
#include <jujubestand/http1/client.hpp>
#include <optional>
#include <string>

namespace jujubestand::http1
{

/// \brief Takes the body of a complete answer, or nothing.
using text_done = std::function<void(std::optional<std::string> const&)>;

/// \brief Takes the head of an answer.
using head_seen = std::function<void(message_head const&)>;

/// \brief Whether an answer belongs to another request.
using foreign_test = std::function<bool(message_head const&)>;

/// \brief Starts a call for a body that is of use only as a whole.
/// \param done called once, from the loop
/// \param seen called with the head, before `done`
/// \param is_foreign of answers that are read and dropped; may be empty
call_id ask_for_text(
    client& from, client_request request, text_done done,
    head_seen seen = [](message_head const&) {}, foreign_test is_foreign = {});

} // namespace jujubestand::http1

#endif
