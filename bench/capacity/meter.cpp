#include <bench/capacity/meter.hpp>

namespace jujubestand::bench
{

namespace
{

constexpr double bytes_per_megabyte = 1024.0 * 1024.0;
constexpr double microseconds_per_second = 1e6;

double difference(std::uint64_t later, std::uint64_t earlier)
{
    return static_cast<double>(later) - static_cast<double>(earlier);
}

} // namespace

meter::meter(std::vector<deployed_process> const& of)
    : processes(&of)
{
}

void meter::begin()
{
    this->first.clear();
    for (deployed_process const& process : *this->processes)
        this->first.push_back(process.child->usage());
    this->began = std::chrono::steady_clock::now();
}

usage_rate meter::end() const
{
    usage_rate mean;
    std::chrono::duration<double> const passed =
        std::chrono::steady_clock::now() - this->began;
    mean.seconds = passed.count();
    double const share =
        1.0 / (mean.seconds * static_cast<double>(this->first.size()));
    for (std::size_t index = 0; index < this->first.size(); ++index)
    {
        process_usage const& then = this->first[index];
        process_usage const now = (*this->processes)[index].child->usage();
        auto const busy = now.processor_time - then.processor_time;
        mean.cores +=
            static_cast<double>(busy.count()) / microseconds_per_second * share;
        mean.read_bytes_per_s +=
            difference(now.read_bytes, then.read_bytes) * share;
        mean.written_bytes_per_s +=
            (difference(now.written_bytes, then.written_bytes) -
             difference(now.output_bytes, then.output_bytes)) *
            share;
        mean.resident_mb += static_cast<double>(now.resident_bytes) /
                            bytes_per_megabyte /
                            static_cast<double>(this->first.size());
    }
    return mean;
}

} // namespace jujubestand::bench
