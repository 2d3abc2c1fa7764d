#ifndef JUJUBESTAND_SIDECAR_SIDECAR_HPP
#define JUJUBESTAND_SIDECAR_SIDECAR_HPP

#include <jujubestand/core/reason.hpp>
#include <jujubestand/process/context.hpp>
#include <jujubestand/process/listening.hpp>
#include <memory>
#include <optional>

namespace jujubestand::sidecar
{

/// \brief The process beside one upstream, which sees all work for it.
class sidecar
{
public:
    /// \param shared the process's context; must outlive the sidecar
    explicit sidecar(process::context& shared);
    ~sidecar();
    sidecar(sidecar const&) = delete;
    sidecar& operator=(sidecar const&) = delete;
    sidecar(sidecar&&) = delete;
    sidecar& operator=(sidecar&&) = delete;

    /// \brief Starts to listen.
    [[nodiscard]] std::optional<process::listening> start(reason& why);

    /// \brief Begins a planned stop: new calls are refused as not run, those
    /// that were taken in end.
    void drain();

    /// \brief Whether a planned stop has come to its end.
    [[nodiscard]] bool is_drained() const;

    /// \brief Calls that wait or run.
    [[nodiscard]] std::size_t open_calls() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::sidecar

#endif
