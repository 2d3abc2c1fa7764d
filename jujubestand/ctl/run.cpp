#include <algorithm>
#include <fstream>
#include <jujubestand/ctl/command.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace jujubestand::ctl
{

namespace
{

constexpr char const* version_text = JUJUBESTAND_VERSION;

std::string help_text()
{
    std::ostringstream text;
    text << "jujubestandctl edits the tables of jujubestand and shows what it "
            "does.\n\n"
            "jujubestandctl [--log IP:PORT] [--instances IP:PORT] [--json]\n"
            "    [--author NAME] [--operator-key-file FILE] [--timeout-ms N] "
            "COMMAND\n\ncommands:\n";
    for (auto const& one : all_commands())
        text << "  " << one.group << (one.verb.empty() ? "" : " ") << one.verb
             << ' ' << one.usage << '\n';
    text << "\nexit codes:\n";
    for (auto const& row : exit_code_names)
        text << "  " << static_cast<unsigned>(row.value) << "  " << row.name
             << '\n';
    return text.str();
}

struct parsed_line
{
    command_context context;
    std::vector<std::string> words;
    bool wants_help = false;
    bool wants_version = false;
};

std::string default_author()
{
    char const* user = std::getenv("USER");
    return user == nullptr ? "operator" : user;
}

address address_of(std::string const& text, std::string const& option)
{
    reason why;
    auto const parsed = parse_address(text, why);
    if (!parsed)
        throw TCLAP::ArgException(why.text, option);
    return *parsed;
}

std::string first_line(std::string const& file)
{
    std::ifstream input(file);
    std::string line;
    if (!std::getline(input, line))
        throw TCLAP::ArgException("cannot read " + file, "operator-key-file");
    return line;
}

parsed_line parse(std::vector<std::string> arguments)
{
    // Help and version are ours: TCLAP's would leave the program.
    TCLAP::CmdLine line("", ' ', version_text, false);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> log("", "log", "log service", false, "",
                                     "IP:PORT", line);
    TCLAP::ValueArg<std::string> instances("", "instances", "instance list",
                                           false, "", "IP:PORT", line);
    TCLAP::ValueArg<std::string> key_file("", "operator-key-file",
                                          "file that holds the operators' key",
                                          false, "", "FILE", line);
    TCLAP::ValueArg<std::string> author("", "author", "who edits", false,
                                        default_author(), "NAME", line);
    TCLAP::ValueArg<unsigned> timeout("", "timeout-ms", "time for it all",
                                      false, 5'000, "N", line);
    TCLAP::SwitchArg json("", "json", "print JSON", line);
    TCLAP::SwitchArg help("h", "help", "show the commands", line);
    TCLAP::SwitchArg version("", "version", "show the version", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "what to do", false,
                                                "WORD", line);
    arguments.insert(arguments.begin(), "jujubestandctl");
    line.parse(arguments);
    parsed_line parsed;
    parsed.words = words.getValue();
    parsed.wants_help = help.getValue();
    parsed.wants_version = version.getValue();
    parsed.context.is_json = json.getValue();
    parsed.context.author = author.getValue();
    parsed.context.timeout = std::chrono::milliseconds(timeout.getValue());
    if (log.isSet())
        parsed.context.log = address_of(log.getValue(), "log");
    if (instances.isSet())
        parsed.context.instances =
            address_of(instances.getValue(), "instances");
    if (key_file.isSet())
        parsed.context.operator_key = first_line(key_file.getValue());
    return parsed;
}

exit_code dispatch(parsed_line const& parsed)
{
    auto const& words = parsed.words;
    for (auto const& one : all_commands())
    {
        std::size_t const length = one.verb.empty() ? 1 : 2;
        if (words.size() < length || words[0] != one.group ||
            (length == 2 && words[1] != one.verb))
            continue;
        auto const rest = words.begin() + static_cast<std::ptrdiff_t>(length);
        return one.run(parsed.context, {rest, words.end()});
    }
    return fail(parsed.context, exit_code::usage,
                {reason_code::settings_invalid, "no such command; see --help",
                 words.empty() ? "" : words[0]});
}

} // namespace

std::optional<assignment> parse_assignment(std::string const& word)
{
    auto const at = word.find('=');
    if (at == std::string::npos || at == 0)
        return std::nullopt;
    return assignment{word.substr(0, at), word.substr(at + 1)};
}

exit_code fail(command_context const& context, exit_code code,
               reason const& why)
{
    if (!context.is_json)
    {
        *context.err << "jujubestandctl: " << to_text(why) << '\n';
        return code;
    }
    nlohmann::ordered_json const shown{
        {"error", to_name(why.code)},
        {"text", why.text},
        {"place", why.place},
        {"exit_code", static_cast<unsigned>(code)},
    };
    *context.out << shown.dump() << '\n';
    return code;
}

std::vector<command> all_commands()
{
    std::vector<command> commands;
    std::ranges::copy(table_commands(), std::back_inserter(commands));
    std::ranges::copy(fleet_commands(), std::back_inserter(commands));
    return commands;
}

exit_code run(std::vector<std::string> const& arguments, std::ostream& out,
              std::ostream& err)
{
    try
    {
        auto parsed = parse(arguments);
        parsed.context.out = &out;
        parsed.context.err = &err;
        if (parsed.wants_help)
            out << help_text();
        else if (parsed.wants_version)
            out << "jujubestandctl " << version_text << '\n';
        else
            return dispatch(parsed);
        return exit_code::done;
    }
    catch (TCLAP::ArgException const& error)
    {
        err << "jujubestandctl: " << error.error() << ' ' << error.argId()
            << '\n';
        return exit_code::usage;
    }
}

} // namespace jujubestand::ctl
