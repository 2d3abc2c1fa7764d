#include <jujubestand/settings/reader.hpp>

#include <jujubestand/settings/foreign_letter.hpp>

namespace jujubestand::settings
{

namespace
{

toml::table const empty_table;

std::string place_of(std::string const& file, toml::source_position where,
                     std::string_view key)
{
    std::string place = file;
    if (where.line != 0)
        place += ':' + std::to_string(where.line) + ':' +
                 std::to_string(where.column);
    if (!key.empty())
        place += ' ' + std::string(key);
    return place;
}

} // namespace

std::optional<toml::table> read_document(std::string_view text,
                                         std::string const& file,
                                         std::vector<reason>& problems)
{
    if (auto const where = foreign_letter(text))
    {
        problems.push_back(reason{
            reason_code::settings_invalid, "expected ASCII letters in keys",
            place_of(file, {where->line, where->column}, {})});
        return std::nullopt;
    }
    try
    {
        return toml::parse(text, file);
    }
    catch (toml::parse_error const& error)
    {
        problems.push_back(
            reason{reason_code::settings_invalid,
                   "expected TOML: " + std::string(error.description()),
                   place_of(file, error.source().begin, {})});
        return std::nullopt;
    }
}

reader::reader(toml::table const& from, std::string const& name,
               std::vector<reason>& faults, std::string prefix)
    : table(&from)
    , file(name)
    , problems(&faults)
    , path(std::move(prefix))
{
}

toml::node const* reader::find(std::string_view key)
{
    this->asked.emplace(key);
    return this->table->get(key);
}

void reader::fail_at(toml::source_position where, std::string_view key,
                     std::string_view expected)
{
    std::string const full = this->path.empty()
                                 ? std::string(key)
                                 : this->path + '.' + std::string(key);
    this->problems->push_back(reason{reason_code::settings_invalid,
                                     "expected " + std::string(expected),
                                     place_of(this->file, where, full)});
}

void reader::fail(std::string_view key, std::string_view expected)
{
    auto const* node = this->table->get(key);
    auto const& source =
        node != nullptr ? node->source() : this->table->source();
    this->fail_at(source.begin, key, expected);
}

reader reader::section(std::string_view key)
{
    auto const* node = this->find(key);
    if (node == nullptr || !node->is_table())
        this->fail(key, "a table");
    return this->optional_section(key);
}

reader reader::optional_section(std::string_view key)
{
    auto const* node = this->find(key);
    auto const* sub = node != nullptr ? node->as_table() : nullptr;
    if (node != nullptr && sub == nullptr)
        this->fail(key, "a table");
    std::string prefix = this->path.empty()
                             ? std::string(key)
                             : this->path + '.' + std::string(key);
    return reader(sub != nullptr ? *sub : empty_table, this->file,
                  *this->problems, std::move(prefix));
}

std::vector<reader> reader::rows(std::string_view key)
{
    std::vector<reader> result;
    auto const* node = this->find(key);
    if (node == nullptr)
        return result;
    auto const* list = node->as_array();
    if (list == nullptr)
    {
        this->fail(key, "an array of tables");
        return result;
    }
    for (auto const& row : *list)
    {
        if (row.is_table())
            result.emplace_back(*row.as_table(), this->file, *this->problems,
                                std::string(key));
        else
            this->fail_at(row.source().begin, key, "a table");
    }
    return result;
}

std::string reader::required_text(std::string_view key)
{
    auto const* node = this->find(key);
    auto const* text = node != nullptr ? node->as_string() : nullptr;
    if (text == nullptr || text->get().empty())
    {
        this->fail(key, "a text that is not empty");
        return {};
    }
    return text->get();
}

std::string reader::optional_text(std::string_view key)
{
    return this->find(key) == nullptr ? std::string()
                                      : this->required_text(key);
}

std::vector<std::string> reader::required_texts(std::string_view key)
{
    std::vector<std::string> result;
    auto const* node = this->find(key);
    auto const* list = node != nullptr ? node->as_array() : nullptr;
    if (list == nullptr || list->empty())
    {
        this->fail(key, "an array of texts that is not empty");
        return result;
    }
    for (auto const& row : *list)
    {
        if (row.is_string())
            result.push_back(row.as_string()->get());
        else
            this->fail_at(row.source().begin, key, "a text");
    }
    return result;
}

std::optional<address> reader::address_of(toml::node const& node,
                                          std::string_view key)
{
    auto const* text = node.as_string();
    reason why;
    std::optional<address> parsed;
    if (text != nullptr)
        parsed = parse_address(text->get(), why);
    if (!parsed)
        this->fail_at(node.source().begin, key, "an address \"IP:PORT\"");
    return parsed;
}

address reader::required_address(std::string_view key)
{
    auto const* node = this->find(key);
    if (node == nullptr)
    {
        this->fail(key, "an address \"IP:PORT\"");
        return {};
    }
    return this->address_of(*node, key).value_or(address{});
}

std::optional<address> reader::optional_address(std::string_view key)
{
    auto const* node = this->find(key);
    if (node == nullptr)
        return std::nullopt;
    return this->address_of(*node, key);
}

std::vector<address> reader::optional_addresses(std::string_view key)
{
    std::vector<address> result;
    auto const* node = this->find(key);
    if (node == nullptr)
        return result;
    auto const* list = node->as_array();
    if (list == nullptr)
    {
        this->fail(key, "an array of addresses \"IP:PORT\"");
        return result;
    }
    for (auto const& row : *list)
    {
        if (auto const parsed = this->address_of(row, key))
            result.push_back(*parsed);
    }
    return result;
}

void reader::number(std::string_view key, std::int64_t lowest,
                    std::int64_t highest, std::int64_t& value)
{
    auto const* node = this->find(key);
    if (node == nullptr)
        return;
    auto const* read = node->as_integer();
    bool const is_within =
        read != nullptr && read->get() >= lowest && read->get() <= highest;
    if (is_within)
        value = read->get();
    else
        this->fail(key, "an integer from " + std::to_string(lowest) + " to " +
                            std::to_string(highest));
}

void reader::done()
{
    for (auto const& row : *this->table)
    {
        toml::key const& key = row.first;
        if (!this->asked.contains(key.str()))
            this->fail_at(key.source().begin, key.str(),
                          "no such key; it is unknown");
    }
}

} // namespace jujubestand::settings
