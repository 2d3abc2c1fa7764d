#ifndef JUJUBESTAND_STANDINS_KEYED_KEYED_STORE_HPP
#define JUJUBESTAND_STANDINS_KEYED_KEYED_STORE_HPP

#include <cstdint>
#include <map>
#include <standins/support/delays.hpp>
#include <standins/support/http_server.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::standins
{

/// \brief The platform's store as far as gateways and agents use it: topics,
/// keyed ones and others, written by the test itself and by them.
class keyed_store
{
public:
    keyed_store(event_base* loop, address const& where);
    keyed_store(keyed_store const&) = delete;
    keyed_store& operator=(keyed_store const&) = delete;

    /// \brief The keys of a topic whose newest records have values, in order.
    [[nodiscard]] std::vector<std::string> keys(std::string const& topic) const;

    /// \brief Appends a record; an empty value removes the key.
    void put(std::string const& topic, std::string const& key,
             std::string const& value);

    /// \brief Records of a topic, of all its partitions.
    [[nodiscard]] std::vector<std::string>
    records(std::string const& topic) const;

    /// \brief Appends a record to a topic without keys.
    void append(std::string const& topic, std::string const& record);

    /// \brief While the store is away it answers all calls with 503; what the
    /// test writes is kept.
    void set_away(bool is_away);

    /// \brief Copies all topics, for a later return.
    void keep_copy();

    /// \brief Replaces all topics by the last copy: what was written since is
    /// lost, and its offsets are given out again. Reads that wait
    /// are refused.
    void return_from_copy();

    [[nodiscard]] address bound() const;

private:
    /// \brief Answers a call by this, unless the store is away.
    void on(evhttp_cmd_type method, std::string const& path,
            void (keyed_store::*handle)(http_call const&));

    struct newest_record
    {
        std::string value;
        std::uint64_t offset = 0;
    };

    struct keyed_topic
    {
        /// As they are read, without their length.
        std::vector<std::string> records;
        std::map<std::string, newest_record> newest;
    };

    struct waiting_read
    {
        std::string topic;
        std::uint64_t from = 0;
    };

    void answer(evhttp_request* request, int status, std::string_view body,
                char const* content_type = "application/json");
    void handle_newest(http_call const& call);
    void handle_read(http_call const& call);
    void handle_append(http_call const& call);
    void answer_read(evhttp_request* request, waiting_read const& read);

    http_server server;
    held_requests held;
    std::map<std::string, keyed_topic> topics;
    std::map<std::string, keyed_topic> copy;
    /// Stated in all answers; rises with each return from a copy.
    std::uint64_t era = 1;
    std::map<std::uint64_t, waiting_read> waiting;
    bool is_away = false;
};

} // namespace jujubestand::standins

#endif
