#include <jujubestand/timeline/drawing.hpp>

#include <map>
#include <sstream>

namespace jujubestand::timeline
{

namespace
{

constexpr int column_px = 260;
constexpr int row_px = 26;
constexpr int margin_px = 90;
constexpr int head_px = 50;
constexpr std::size_t detail_limit = 34;

std::string escaped(std::string const& text)
{
    std::string safe;
    for (char const letter : text)
    {
        switch (letter)
        {
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '&':
            safe += "&amp;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += letter;
            break;
        }
    }
    return safe;
}

std::map<instance_id, int> columns_of(std::vector<stamped_event> const& merged)
{
    std::map<instance_id, int> columns;
    for (auto const& event : merged)
        columns.emplace(event.instance, static_cast<int>(columns.size()));
    return columns;
}

std::string detail_of(event_note const& what)
{
    std::string detail;
    for (auto const& field : what.fields)
        detail += ' ' + field.key + '=' + field.value;
    if (detail.size() > detail_limit)
        detail = detail.substr(0, detail_limit) + "...";
    return detail;
}

void draw_text(std::ostream& out, int x, int y, std::string const& text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\">" << escaped(text)
        << "</text>\n";
}

void draw_columns(std::ostream& out, std::map<instance_id, int> const& columns,
                  int height)
{
    for (auto const& [name, column] : columns)
    {
        int const x = margin_px + column * column_px;
        draw_text(out, x, head_px / 2, name.text);
        out << "<line x1=\"" << x << "\" y1=\"" << head_px - 10 << "\" x2=\""
            << x << "\" y2=\"" << height << "\" stroke=\"#bbb\"/>\n";
    }
}

} // namespace

std::string draw_svg(std::vector<stamped_event> const& merged)
{
    auto const columns = columns_of(merged);
    int const width = margin_px + column_px * static_cast<int>(columns.size());
    int const height = head_px + row_px * static_cast<int>(merged.size()) + 10;
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
        << "\" height=\"" << height
        << "\" font-family=\"monospace\" font-size=\"11\">\n";
    draw_columns(out, columns, height);
    int y = head_px;
    for (auto const& event : merged)
    {
        int const x = margin_px + columns.at(event.instance) * column_px;
        auto const after = event.stamp.wall_ms - merged.front().stamp.wall_ms;
        draw_text(out, 4, y + 4, '+' + std::to_string(after) + " ms");
        out << "<circle cx=\"" << x << "\" cy=\"" << y
            << "\" r=\"4\" fill=\"#246\"/>\n";
        draw_text(out, x + 8, y + 1, std::string(to_name(event.what.number)));
        draw_text(out, x + 8, y + 12, detail_of(event.what));
        y += row_px;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace jujubestand::timeline
