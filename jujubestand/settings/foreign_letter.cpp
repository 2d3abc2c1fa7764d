#include <jujubestand/settings/foreign_letter.hpp>

namespace jujubestand::settings
{

namespace
{

/// Where a scan of a line is.
struct scan
{
    /// The quote that ends the text which the scan is in; 0: in none.
    char quote = 0;
    bool is_escaped = false;
    bool is_comment = false;
};

void step(scan& state, char letter)
{
    if (letter == '\n')
        state = scan{};
    else if (state.is_comment)
        return;
    else if (state.is_escaped)
        state.is_escaped = false;
    else if (state.quote == '"' && letter == '\\')
        state.is_escaped = true;
    else if (letter == state.quote)
        state.quote = 0;
    else if (state.quote == 0 && (letter == '"' || letter == '\''))
        state.quote = letter;
    else if (state.quote == 0)
        state.is_comment = letter == '#';
}

} // namespace

// toml++ 3.3 has undefined behaviour on some letters beyond ASCII in a bare
// key, so such a text is refused before it sees it.
std::optional<text_place> foreign_letter(std::string_view text)
{
    text_place at;
    scan state;
    for (char const letter : text)
    {
        bool const is_ascii = static_cast<unsigned char>(letter) < 0x80U;
        if (!is_ascii && state.quote == 0 && !state.is_comment)
            return at;
        step(state, letter);
        ++at.column;
        if (letter == '\n')
            at = {at.line + 1, 1};
    }
    return std::nullopt;
}

} // namespace jujubestand::settings
