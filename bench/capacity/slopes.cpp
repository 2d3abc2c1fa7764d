#include <bench/capacity/slopes.hpp>

#include <bench/support/report.hpp>
#include <iomanip>
#include <sstream>

namespace jujubestand::bench
{

namespace
{

std::string number(double value)
{
    std::ostringstream out;
    out << std::setprecision(3) << value;
    return out.str();
}

std::string points_of(series const& measured)
{
    std::string out;
    for (std::size_t index = 0; index < measured.x.size(); ++index)
        out += (index > 0 ? ", " : "") + number(measured.x[index]) + ": " +
               number(measured.y[index]);
    return out;
}

} // namespace

void series::add(double at, double value)
{
    this->x.push_back(at);
    this->y.push_back(value);
}

std::string slopes_head()
{
    return "| series | points (x: y) | slope | at 0 | residual |\n"
           "| --- | --- | --- | --- | --- |\n";
}

void report(series const& measured, std::string& markdown)
{
    line_fit const fit = fit_line(measured.x, measured.y);
    std::string const unit = measured.y_unit + '/' + measured.x_unit;
    figure(measured.name + "_slope", fit.slope, unit);
    figure(measured.name + "_at_0", fit.intercept, measured.y_unit);
    figure(measured.name + "_residual", fit.residual, measured.y_unit);
    note(measured.name + " points " + points_of(measured));
    markdown += "| `" + measured.name + "` | " + points_of(measured) + " | " +
                number(fit.slope) + ' ' + unit + " | " + number(fit.intercept) +
                " | " + number(fit.residual) + " |\n";
}

} // namespace jujubestand::bench
