// lavctl: the operators' command line.
#include "lavenderarch/core/clock.h"
#include "lavenderarch/core/error_descriptor.h"
#include "lavenderarch/http/http_client.h"
#include "lavenderarch/http/http_response.h"
#include "operator_command.h"
#include "table_printer.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace lavenderarch {
namespace {

namespace options = boost::program_options;

constexpr const char *versionText = "lavctl 0.1.0";
constexpr auto requestTimeout = std::chrono::seconds(15);

options::options_description describeOptions()
{
    options::options_description description("Options");
    const char *user = std::getenv("USER");
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("entry", options::value<std::string>()->default_value("127.0.0.1:7001"),
        "address of an entry");
    add("operator", options::value<std::string>()->default_value(user == nullptr ? "" : user),
        "name for the audit trail");
    add("cause", options::value<std::string>()->default_value(""), "reason for the audit trail");
    add("expect", options::value<std::string>()->default_value(""),
        "version that a manifest replaces (manifest apply)");
    add("json", "print the answer as JSON");
    add("words", options::value<std::vector<std::string>>(), "command");
    return description;
}

int fail(const Status &error)
{
    const ErrorDescriptor &answer = errorDescriptor(kindOf(error));
    std::cerr << "lavctl: " << answer.name << ": " << messageOf(error) << "\n";
    return answer.exitCode;
}

int execute(const std::vector<std::string> &words, const OperatorOptions &given)
{
    const auto command = buildCommand(words, given);
    if (!command.ok())
        return fail(command.status());
    HttpClient client;
    const auto response =
        client.exchange(given.entry, command->request, SystemClock().now() + requestTimeout);
    if (!response.ok())
        return fail(response.status());
    const Status refusal = errorFromResponse(*response);
    if (!refusal.ok())
        return fail(refusal);
    const auto answer = parseJson(response->body, "answer");
    if (!answer.ok())
        return fail(answer.status());
    if (given.json)
        std::cout << answer->dump(2) << "\n";
    else
        std::cout << formatTable(*answer, command->columns);
    return 0;
}

int run(int argc, char **argv)
{
    const auto description = describeOptions();
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map given;
    try {
        options::store(options::command_line_parser(argc, argv)
                           .options(description)
                           .positional(positional)
                           .run(),
                       given);
    } catch (const options::error &error) {
        return fail(makeError(ErrorKind::InvalidRequest, error.what()));
    }
    if (given.count("help") != 0) {
        std::cout << "Usage: lavctl [options] command\n\nCommands\n"
                  << commandSummary() << "\n"
                  << description;
        return 0;
    }
    if (given.count("version") != 0) {
        std::cout << versionText << "\n";
        return 0;
    }
    const auto entry = Address::parse(given["entry"].as<std::string>());
    if (!entry.ok())
        return fail(entry.status());
    const OperatorOptions chosen{*entry, given["operator"].as<std::string>(),
                                 given["cause"].as<std::string>(),
                                 given["expect"].as<std::string>(), given.count("json") != 0};
    const auto words = given.count("words") != 0 ? given["words"].as<std::vector<std::string>>()
                                                 : std::vector<std::string>();
    return execute(words, chosen);
}

} // namespace
} // namespace lavenderarch

int main(int argc, char **argv)
{
    return lavenderarch::run(argc, argv);
}
