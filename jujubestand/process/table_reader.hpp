#ifndef JUJUBESTAND_PROCESS_TABLE_READER_HPP
#define JUJUBESTAND_PROCESS_TABLE_READER_HPP

#include <jujubestand/config/store.hpp>
#include <jujubestand/link/node.hpp>
#include <jujubestand/platform/list_client.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <jujubestand/process/context.hpp>
#include <memory>
#include <sigc++/sigc++.h>

namespace jujubestand::process
{

/// \brief Keeps the tables in force in one process: follows the log's
/// configuration stream, asks peers, answers them, and carries out what the
/// store asks for.
class table_reader
{
public:
    /// \param shared the process's context; must outlive the reader
    /// \param log the process's log client; must outlive the reader
    /// \param links the process's node; must outlive the reader
    table_reader(context& shared, platform::log_client& log, link::node& links);
    ~table_reader();
    table_reader(table_reader const&) = delete;
    table_reader& operator=(table_reader const&) = delete;
    table_reader(table_reader&&) = delete;
    table_reader& operator=(table_reader&&) = delete;

    /// \brief Begins to follow the stream and to ask peers.
    void start();

    /// \brief Takes the peers from a list that was read.
    void on_list(platform::instance_list const& list);

    /// \brief Takes a frame that is about tables.
    /// \returns false if it is another's
    bool on_frame(link::stream_id stream, link::frame const& frame);

    /// \brief Compares a version that came on a stream. If the peer's tables
    /// are older, ours are sent there first; if they are newer, they are
    /// asked for.
    config::tables_age on_version(link::stream_id stream, log_offset version);

    /// \brief A message from a peer that listens at `where` carried the
    /// version of its tables.
    void on_peer_version(address const& where, log_offset version);

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
