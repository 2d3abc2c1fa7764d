#include <jujubestand/status/messages.hpp>

#include <jujubestand/core/bounded_unpack.hpp>

namespace jujubestand::status
{

namespace
{

template <class Message>
std::optional<Message> read_message(std::string_view bytes)
{
    try
    {
        auto message = bounded_unpack(bytes)->template as<Message>();
        if (message.format == format_number)
            return message;
    }
    catch (std::exception const&)
    {
        // Datagrams come from anywhere; what is no message says nothing.
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::optional<question> read_question(std::string_view bytes)
{
    return read_message<question>(bytes);
}

std::optional<answer> read_answer(std::string_view bytes)
{
    return read_message<answer>(bytes);
}

} // namespace jujubestand::status
