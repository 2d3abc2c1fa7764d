#ifndef JUJUBESTAND_ENTRY_ENTRY_HPP
#define JUJUBESTAND_ENTRY_ENTRY_HPP

#include <jujubestand/core/reason.hpp>
#include <jujubestand/process/context.hpp>
#include <jujubestand/process/listening.hpp>
#include <memory>
#include <optional>

namespace jujubestand::entry
{

/// \brief The process that takes callers' requests and sends each to the
/// sidecar beside the upstream that is chosen for it.
class entry
{
public:
    /// \param shared the process's context; must outlive the entry
    explicit entry(process::context& shared);
    ~entry();
    entry(entry const&) = delete;
    entry& operator=(entry const&) = delete;
    entry(entry&&) = delete;
    entry& operator=(entry&&) = delete;

    /// \brief Starts to listen and to read the platform.
    [[nodiscard]] std::optional<process::listening> start(reason& why);

    /// \brief Begins a planned stop: `/readyz` fails at once, new requests
    /// are refused after the notice, running ones end.
    void drain();

    /// \brief Whether a planned stop has come to its end.
    [[nodiscard]] bool is_drained() const;

    /// \brief Requests that are still running.
    [[nodiscard]] std::size_t open_calls() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::entry

#endif
