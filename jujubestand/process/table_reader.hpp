#ifndef JUJUBESTAND_PROCESS_TABLE_READER_HPP
#define JUJUBESTAND_PROCESS_TABLE_READER_HPP

#include <jujubestand/config/store.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <jujubestand/process/context.hpp>
#include <memory>
#include <sigc++/sigc++.h>

namespace jujubestand::process
{

/// \brief Keeps the tables in force in one process: follows the log's
/// configuration stream and carries out what the store asks for.
class table_reader
{
public:
    /// \param shared the process's context; must outlive the reader
    /// \param log the process's log client; must outlive the reader
    table_reader(context& shared, platform::log_client& log);
    ~table_reader();
    table_reader(table_reader const&) = delete;
    table_reader& operator=(table_reader const&) = delete;
    table_reader(table_reader&&) = delete;
    table_reader& operator=(table_reader&&) = delete;

    /// \brief Begins to follow the stream.
    void start();

    /// \brief The tables in force; version 0 where there are none yet.
    [[nodiscard]] config::tables const& in_force() const;

    /// \brief The store behind it.
    [[nodiscard]] config::store const& store() const;

    /// \brief Other tables are in force.
    sigc::signal<void()> applied;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::process

#endif
