#ifndef JUJUBESTAND_REVIEW_STORE_HPP
#define JUJUBESTAND_REVIEW_STORE_HPP

#include <condition_variable>
#include <review/standins/http.hpp>

namespace review
{

/// \brief The platform's store, form `log`, one partition a topic. A sound
/// one: it answers each call as PROTOCOL.md says.
class store
{
public:
    explicit store(std::string const& host)
        : served({host, 0},
                 [this](connection& open, message const& request)
                 {
                     return this->answer(open, request);
                 })
    {
    }

    [[nodiscard]] endpoint const& bound() const
    {
        return this->served.bound();
    }

    /// \brief Writes a record as the operator or a worker does. \returns the
    /// moment of the acknowledgement
    clock::time_point put(std::string const& topic, std::string const& key,
                          std::string const& value)
    {
        std::lock_guard const lock(this->mutex);
        this->append(topic, static_cast<char>(key.size()) + key + value);
        return clock::now();
    }

private:
    struct kept_topic
    {
        std::vector<std::string> records;
        /// Offsets by key.
        std::map<std::string, std::size_t> newest;
    };

    static std::string big_endian(std::uint64_t value, unsigned bytes)
    {
        std::string result;
        for (unsigned at = bytes; at-- > 0;)
            result += static_cast<char>((value >> (8U * at)) & 0xffU);
        return result;
    }

    static std::string base64(std::string const& text)
    {
        constexpr char const* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "abcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t at = 0; at < text.size(); at += 3)
        {
            std::uint32_t group = 0;
            for (std::size_t next = at; next < at + 3; ++next)
                group =
                    (group << 8U) |
                    (next < text.size() ? static_cast<unsigned char>(text[next])
                                        : 0U);
            for (std::size_t digit = 0; digit < 4; ++digit)
                result += at + digit > text.size()
                              ? '='
                              : digits[(group >> (18U - 6U * digit)) & 0x3fU];
        }
        return result;
    }

    static std::string unescaped(std::string const& text)
    {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at)
        {
            if (text[at] != '%')
            {
                result += text[at];
                continue;
            }
            result += static_cast<char>(
                std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        }
        return result;
    }

    void append(std::string const& topic, std::string const& record)
    {
        auto& target = this->topics[topic];
        target.records.push_back(record);
        if (topic.starts_with("keyed."))
        {
            auto const size = static_cast<unsigned char>(record[0]);
            auto const key = record.substr(1, size);
            if (record.size() > 1U + size)
                target.newest[key] = target.records.size() - 1;
            else
                target.newest.erase(key);
        }
        this->changed.notify_all();
    }

    static bool reply(connection& open, std::string const& status,
                      std::string const& body)
    {
        return open.write(
            response(status, {{"Content-Type", "application/json"}}, body));
    }

    bool answer(connection& open, message const& request)
    {
        constexpr milliseconds usual{4};
        std::this_thread::sleep_for(usual);
        auto const topic = unescaped(request.query("topic"));
        std::unique_lock lock(this->mutex);
        auto& target = this->topics[topic];
        if (request.path() == "/log-newest")
            return reply(open, "200 OK", newest_of(target, request));
        if (request.path() == "/log-read")
        {
            std::size_t const from = std::stoul("0" + request.query("from"));
            milliseconds const wait{std::stoul("0" + request.query("wait-ms"))};
            this->changed.wait_for(lock, wait,
                                   [&]
                                   {
                                       return target.records.size() > from;
                                   });
            std::string body = big_endian(target.records.size(), 8);
            body += big_endian(0, 8);
            for (auto at = from; at < target.records.size(); ++at)
                body += big_endian(target.records[at].size(), 4) +
                        target.records[at];
            lock.unlock();
            return open.write(response("200 OK", {}, body));
        }
        if (request.path() != "/log-append")
            return reply(open, "404 Not Found", "{}");
        auto const first = target.records.size();
        auto const at = request.query("at");
        if (!at.empty() && std::stoul(at) != first)
            return reply(open, "412 Precondition Failed",
                         "{\"end\":" + std::to_string(first) + "}");
        for (std::size_t next = 0; next + 4 <= request.body.size();)
        {
            std::size_t size = 0;
            for (unsigned byte = 0; byte < 4; ++byte)
                size = (size << 8U) |
                       static_cast<unsigned char>(request.body[next + byte]);
            this->append(topic, request.body.substr(next + 4, size));
            next += 4 + size;
        }
        return reply(open, "200 OK",
                     "{\"offset\":" + std::to_string(first) + ",\"end\":" +
                         std::to_string(target.records.size()) + "}");
    }

    static std::string newest_of(kept_topic const& target,
                                 message const& request)
    {
        constexpr std::size_t page = 500;
        auto const after = unescaped(request.query("after"));
        std::string items;
        std::size_t count = 0;
        bool has_more = false;
        for (auto const& [key, offset] : target.newest)
        {
            if (!after.empty() && key <= after)
                continue;
            if (count++ == page)
            {
                has_more = true;
                break;
            }
            items += items.empty() ? "" : ",";
            items += R"({"key":")" + key + R"(","value":")" +
                     base64(target.records[offset].substr(1 + key.size())) +
                     R"(","offset":)" + std::to_string(offset) + "}";
        }
        return R"({"items":[)" + items + R"(],"has-more":)" +
               (has_more ? "true" : "false") + R"(,"end":)" +
               std::to_string(target.records.size()) + "}";
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, kept_topic> topics;
    server served;
};

} // namespace review

#endif
