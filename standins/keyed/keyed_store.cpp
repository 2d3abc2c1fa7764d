#include <standins/keyed/keyed_store.hpp>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <string_view>
#include <utility>

namespace jujubestand::standins
{

namespace
{

constexpr unsigned length_bytes = 4;
constexpr unsigned number_bytes = 8;

std::string big_endian(std::uint64_t value, unsigned bytes)
{
    std::string result;
    for (unsigned at = bytes; at-- > 0;)
        result += static_cast<char>((value >> (8U * at)) & 0xffU);
    return result;
}

std::string base64_encoded(std::string const& text)
{
    constexpr std::size_t group = 4;
    constexpr std::size_t group_bytes = 3;
    // The encoder adds a null character.
    std::string result(
        (text.size() + group_bytes - 1) / group_bytes * group + 1, '\0');
    int const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(result.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    result.resize(static_cast<std::size_t>(size));
    return result;
}

// Topic of a call, with its partition unless it is the first.
std::string topic_of(http_call const& call)
{
    auto const partition = call.number("part", 0);
    return call.text("topic") +
           (partition == 0 ? "" : '#' + std::to_string(partition));
}

} // namespace

keyed_store::keyed_store(event_base* loop, address const& where)
    : server(loop, where)
    , held(loop)
{
    this->on(EVHTTP_REQ_GET, "/log-newest", &keyed_store::handle_newest);
    this->on(EVHTTP_REQ_GET, "/log-read", &keyed_store::handle_read);
    this->on(EVHTTP_REQ_POST, "/log-append", &keyed_store::handle_append);
}

void keyed_store::on(evhttp_cmd_type method, std::string const& path,
                     void (keyed_store::*handle)(http_call const&))
{
    this->server.on(method, path,
                    [this, handle](http_call const& call)
                    {
                        if (this->is_away)
                            this->answer(call.request, HTTP_SERVUNAVAIL, "{}");
                        else
                            (this->*handle)(call);
                    });
}

void keyed_store::set_away(bool away)
{
    this->is_away = away;
}

void keyed_store::keep_copy()
{
    this->copy = this->topics;
}

void keyed_store::return_from_copy()
{
    for (auto const& [id, read] : std::exchange(this->waiting, {}))
    {
        if (auto* const request = this->held.take(id))
            this->answer(request, HTTP_SERVUNAVAIL, "{}");
    }
    this->topics = this->copy;
    ++this->era;
}

void keyed_store::answer(evhttp_request* request, int status,
                         std::string_view body, char const* content_type)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era",
                      std::to_string(this->era).c_str());
    reply(request, status, body, content_type);
}

void keyed_store::put(std::string const& topic, std::string const& key,
                      std::string const& value)
{
    auto& target = this->topics[topic];
    if (value.empty())
        target.newest.erase(key);
    else
        target.newest[key] = {value, target.records.size()};
    target.records.push_back(static_cast<char>(key.size()) + key + value);
    for (auto const& [id, read] : std::exchange(this->waiting, {}))
    {
        if (read.topic != topic)
        {
            this->waiting[id] = read;
            continue;
        }
        if (auto* const request = this->held.take(id))
            this->answer_read(request, read);
    }
}

address keyed_store::bound() const
{
    return this->server.bound();
}

void keyed_store::handle_newest(http_call const& call)
{
    auto const& topic = this->topics[call.text("topic")];
    auto items = nlohmann::json::array();
    for (auto const& [key, record] : topic.newest)
        items.push_back({{"key", key},
                         {"value", base64_encoded(record.value)},
                         {"offset", record.offset}});
    nlohmann::json const body{
        {"items", items}, {"has-more", false}, {"end", topic.records.size()}};
    this->answer(call.request, HTTP_OK, body.dump());
}

void keyed_store::handle_read(http_call const& call)
{
    waiting_read const read{topic_of(call), call.number("from", 0)};
    if (read.from > this->topics[read.topic].records.size())
    {
        constexpr int gone = 410;
        this->answer(call.request, gone, R"({"first":0})");
        return;
    }
    std::chrono::milliseconds const wait{call.number("wait-ms", 0)};
    bool const has_records =
        read.from < this->topics[read.topic].records.size();
    if (has_records || wait.count() == 0)
    {
        this->answer_read(call.request, read);
        return;
    }
    auto const id = this->held.hold(call.request, wait,
                                    [this, read](evhttp_request* request)
                                    {
                                        this->answer_read(request, read);
                                    });
    this->waiting[id] = read;
}

// The first record of the call: length, length of the key, key, value.
void keyed_store::handle_append(http_call const& call)
{
    auto const record = call.body().substr(length_bytes);
    auto const topic = topic_of(call);
    auto const end_before = this->topics[topic].records.size();
    if (!call.text("at").empty() && call.number("at", 0) != end_before)
    {
        constexpr int precondition_failed = 412;
        nlohmann::json const body{{"end", end_before}};
        this->answer(call.request, precondition_failed, body.dump());
        return;
    }
    if (topic.starts_with("keyed."))
    {
        auto const key_bytes = static_cast<unsigned char>(record.at(0));
        this->put(topic, record.substr(1, key_bytes),
                  record.substr(1 + key_bytes));
    }
    else
        this->topics[topic].records.push_back(record);
    auto const end = this->topics[topic].records.size();
    nlohmann::json const body{{"offset", end - 1}, {"end", end}};
    this->answer(call.request, HTTP_OK, body.dump());
}

std::vector<std::string> keyed_store::records(std::string const& topic) const
{
    std::vector<std::string> result;
    for (auto const& [name, rows] : this->topics)
    {
        if (name == topic || name.starts_with(topic + '#'))
            result.insert(result.end(), rows.records.begin(),
                          rows.records.end());
    }
    return result;
}

void keyed_store::append(std::string const& topic, std::string const& record)
{
    this->topics[topic].records.push_back(record);
}

std::vector<std::string> keyed_store::keys(std::string const& topic) const
{
    std::vector<std::string> result;
    auto const found = this->topics.find(topic);
    if (found == this->topics.end())
        return result;
    for (auto const& [key, row] : found->second.newest)
    {
        if (!row.value.empty())
            result.push_back(key);
    }
    return result;
}

void keyed_store::answer_read(evhttp_request* request, waiting_read const& read)
{
    auto const& records = this->topics[read.topic].records;
    std::string body = big_endian(records.size(), number_bytes);
    body += big_endian(0, number_bytes);
    for (std::size_t at = read.from; at < records.size(); ++at)
        body += big_endian(records[at].size(), length_bytes) + records[at];
    this->answer(request, HTTP_OK, body, "application/octet-stream");
}

} // namespace jujubestand::standins
