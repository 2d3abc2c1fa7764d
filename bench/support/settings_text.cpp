#include <bench/support/settings_text.hpp>

#include <array>
#include <bench/support/workload.hpp>
#include <openssl/evp.h>
#include <sstream>

namespace jujubestand::bench
{

namespace
{

std::string line_of(std::string const& key, std::string const& value)
{
    return key + " = \"" + value + "\"\n";
}

} // namespace

std::string
settings_section(std::string const& name,
                 std::vector<std::pair<std::string, std::string>> const& texts)
{
    std::string out = '[' + name + "]\n";
    for (auto const& [key, value] : texts)
        out += line_of(key, value);
    return out;
}

std::string extra_sections(std::map<std::string, std::string> const& sections)
{
    std::string out;
    for (auto const& [name, text] : sections)
        out.append("[").append(name).append("]\n").append(text).append("\n");
    return out;
}

std::string team_sections(std::size_t count)
{
    std::string out;
    for (std::size_t index = 0; index < count; ++index)
        out += "[[team]]\n" + line_of("name", team_name(index)) +
               "key_sha256 = [\"" + sha256_hex(team_key(index)) + "\"]\n";
    return out;
}

std::string sha256_hex(std::string const& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(),
               nullptr);
    constexpr char const* digits = "0123456789abcdef";
    constexpr unsigned half = 4;
    constexpr unsigned low = 15;
    std::string out;
    for (unsigned index = 0; index < length; ++index)
    {
        out += digits[digest[index] >> half];
        out += digits[digest[index] & low];
    }
    return out;
}

std::string with_addresses(std::string const& text, address const& http,
                           address const& link)
{
    std::istringstream in(text);
    std::string out;
    std::string line;
    bool is_listen = false;
    while (std::getline(in, line))
    {
        if (line.starts_with('['))
            is_listen = line == "[listen]";
        if (is_listen && line.starts_with("http = "))
            out += line_of("http", to_text(http));
        else if (is_listen && line.starts_with("link = "))
            out += line_of("link", to_text(link));
        else
            out += line + '\n';
    }
    return out;
}

} // namespace jujubestand::bench
