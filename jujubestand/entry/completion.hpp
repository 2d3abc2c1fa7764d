#ifndef JUJUBESTAND_ENTRY_COMPLETION_HPP
#define JUJUBESTAND_ENTRY_COMPLETION_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/prefix/chain.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::entry
{

/// \brief What the router needs of a completion's body.
///
/// The segments view into the reader and hold until its next `read`.
struct completion
{
    model_id model;
    bool is_stream = false;
    /// 0 where the caller sets none.
    std::uint64_t max_tokens = 0;
    /// Messages' texts, or the prompt, in order.
    std::vector<prefix::segment> segments;
    std::size_t prompt_bytes = 0;
};

/// \brief Reads completion bodies; one per process, reused.
class completion_reader
{
public:
    /// \param depth_limit deepest nesting that is accepted
    explicit completion_reader(std::size_t depth_limit);
    ~completion_reader();
    completion_reader(completion_reader&&) noexcept;
    completion_reader& operator=(completion_reader&&) noexcept;
    completion_reader(completion_reader const&) = delete;
    completion_reader& operator=(completion_reader const&) = delete;

    /// \brief Reads a body of `/v1/chat/completions` or `/v1/completions`.
    ///
    /// Refused are: what is not one JSON object, a depth over the limit, a
    /// field that stands twice, a field that only the router may set
    /// (`cache_salt`, `priority`, `request_id`), and a body without model or
    /// prompt.
    [[nodiscard]] std::optional<completion> read(std::string const& body,
                                                 reason& why);

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::entry

#endif
