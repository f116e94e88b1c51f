// lavctl: command-line client for operators. Sends one request to an entry and prints the response.
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
        "operator name recorded in the audit trail");
    add("cause", options::value<std::string>()->default_value(""),
        "reason recorded in the audit trail");
    add("expect", options::value<std::string>()->default_value(""),
        "manifest version to replace (manifest apply)");
    add("json", "print the response as JSON");
    add("words", options::value<std::vector<std::string>>(), "command");
    return description;
}

/// Prints the error and returns the exit code of its kind.
int reportError(const Status &error)
{
    const ErrorDescriptor &descriptor = errorDescriptor(kindOf(error));
    std::cerr << "lavctl: " << descriptor.name << ": " << messageOf(error) << "\n";
    return descriptor.exitCode;
}

int execute(const std::vector<std::string> &words, const OperatorOptions &operatorOptions)
{
    const auto command = buildCommand(words, operatorOptions);
    if (!command.ok())
        return reportError(command.status());
    HttpClient client;
    const auto response = client.exchange(operatorOptions.entry, command->request,
                                          SystemClock().now() + requestTimeout);
    if (!response.ok())
        return reportError(response.status());
    const Status error = errorFromResponse(*response);
    if (!error.ok())
        return reportError(error);
    const auto json = parseJson(response->body, "response");
    if (!json.ok())
        return reportError(json.status());
    if (operatorOptions.json)
        std::cout << json->dump(2) << "\n";
    else
        std::cout << formatTable(*json, command->columns);
    return 0;
}

int run(int argc, char **argv)
{
    const auto description = describeOptions();
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map variables;
    try {
        options::store(options::command_line_parser(argc, argv)
                           .options(description)
                           .positional(positional)
                           .run(),
                       variables);
    } catch (const options::error &error) {
        return reportError(makeError(ErrorKind::InvalidRequest, error.what()));
    }
    if (variables.count("help") != 0) {
        std::cout << "Usage: lavctl [options] command\n\nCommands\n"
                  << commandSummary() << "\n"
                  << description;
        return 0;
    }
    if (variables.count("version") != 0) {
        std::cout << versionText << "\n";
        return 0;
    }
    const auto entry = Address::parse(variables["entry"].as<std::string>());
    if (!entry.ok())
        return reportError(entry.status());
    const OperatorOptions operatorOptions{
        *entry, variables["operator"].as<std::string>(), variables["cause"].as<std::string>(),
        variables["expect"].as<std::string>(), variables.count("json") != 0};
    const auto words = variables.count("words") != 0
                           ? variables["words"].as<std::vector<std::string>>()
                           : std::vector<std::string>();
    return execute(words, operatorOptions);
}

} // namespace
} // namespace lavenderarch

int main(int argc, char **argv)
{
    return lavenderarch::run(argc, argv);
}
