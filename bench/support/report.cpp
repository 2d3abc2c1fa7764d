#include <bench/support/report.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace jujubestand::bench
{

namespace
{

constexpr double width = 720;
constexpr double height = 400;
constexpr double margin = 64;
constexpr int ticks = 5;
constexpr std::array<std::string_view, 6> colours{
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf"};

struct range
{
    double low = 0;
    double high = 1;
};

struct frame
{
    range x;
    range y;

    [[nodiscard]] double left_of(double value) const
    {
        double const part =
            (value - this->x.low) / (this->x.high - this->x.low);
        return margin + part * (width - 2 * margin);
    }

    [[nodiscard]] double top_of(double value) const
    {
        double const part =
            (value - this->y.low) / (this->y.high - this->y.low);
        return height - margin - part * (height - 2 * margin);
    }
};

std::string escaped(std::string_view text)
{
    std::string out;
    for (char const letter : text)
    {
        if (letter == '<')
            out += "&lt;";
        else if (letter == '&')
            out += "&amp;";
        else
            out += letter;
    }
    return out;
}

frame frame_of(plot const& drawn)
{
    frame result;
    bool is_first = true;
    for (auto const& line : drawn.lines)
    {
        for (auto const& [x, y] : line.points)
        {
            result.x.low = is_first ? x : std::min(result.x.low, x);
            result.x.high = is_first ? x : std::max(result.x.high, x);
            result.y.high = is_first ? y : std::max(result.y.high, y);
            is_first = false;
        }
    }
    if (result.x.high <= result.x.low)
        result.x.high = result.x.low + 1;
    if (result.y.high <= result.y.low)
        result.y.high = result.y.low + 1;
    return result;
}

void draw_text(std::ostream& out, double left, double top,
               std::string_view anchor, std::string_view text)
{
    out << "<text x=\"" << left << "\" y=\"" << top << "\" text-anchor=\""
        << anchor << "\">" << escaped(text) << "</text>\n";
}

std::string number_text(double value)
{
    std::ostringstream out;
    out << std::setprecision(4) << value;
    return out.str();
}

void draw_axes(std::ostream& out, plot const& drawn, frame const& area)
{
    out << "<path d=\"M" << margin << ' ' << margin << " V" << height - margin
        << " H" << width - margin << "\" stroke=\"black\" fill=\"none\"/>\n";
    for (int tick = 0; tick <= ticks; ++tick)
    {
        double const part = static_cast<double>(tick) / ticks;
        double const x = area.x.low + part * (area.x.high - area.x.low);
        double const y = area.y.low + part * (area.y.high - area.y.low);
        draw_text(out, area.left_of(x), height - margin + 16, "middle",
                  number_text(x));
        draw_text(out, margin - 6, area.top_of(y) + 4, "end", number_text(y));
    }
    draw_text(out, width / 2, 24, "middle", drawn.title);
    draw_text(out, width / 2, height - 16, "middle", drawn.x_label);
    draw_text(out, margin, margin - 10, "middle", drawn.y_label);
}

void draw_line(std::ostream& out, plot_line const& line, frame const& area,
               std::size_t index)
{
    auto const colour = colours[index % colours.size()];
    out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
    for (auto const& [x, y] : line.points)
        out << area.left_of(x) << ',' << area.top_of(y) << ' ';
    out << "\"/>\n<g fill=\"" << colour << "\">";
    draw_text(out, width - margin + 4, margin + 16 * static_cast<double>(index),
              "end", line.name);
    out << "</g>\n";
}

} // namespace

void figure(std::string_view name, double value, std::string_view unit)
{
    std::cout << "figure " << name << ' ' << std::setprecision(6) << value
              << ' ' << unit << std::endl;
}

void note(std::string_view text)
{
    std::cout << "note " << text << std::endl;
}

bool write_csv(std::string const& path, csv_table const& table)
{
    std::ofstream out(path);
    auto const write_row = [&out](std::vector<std::string> const& row)
    {
        for (std::size_t index = 0; index < row.size(); ++index)
            out << (index > 0 ? "," : "") << row[index];
        out << '\n';
    };
    write_row(table.columns);
    for (auto const& row : table.rows)
        write_row(row);
    out.flush();
    return out.good();
}

std::string to_svg(plot const& drawn)
{
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
        << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    frame const area = frame_of(drawn);
    draw_axes(out, drawn, area);
    for (std::size_t index = 0; index < drawn.lines.size(); ++index)
        draw_line(out, drawn.lines[index], area, index);
    out << "</svg>\n";
    return out.str();
}

bool write_svg(std::string const& path, plot const& drawn)
{
    std::ofstream out(path);
    out << to_svg(drawn);
    out.flush();
    return out.good();
}

} // namespace jujubestand::bench
