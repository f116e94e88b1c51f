// Parses the command line with Boost.Program_options and the settings file as JSON.
#include "lavenderarch/config/program_settings.h"

#include "lavenderarch/config/schema_check.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace lavenderarch {
namespace {

namespace options = boost::program_options;

constexpr const char *versionText = "0.1.0";
constexpr int usageExitCode = 2;

options::options_description describeOptions()
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("settings", options::value<std::string>(), "JSON settings file");
    add("check-settings", "validate the settings and exit");
    add("set", options::value<std::vector<std::string>>()->composing(),
        "override one setting: key=value (value is parsed as JSON, else taken as text)");
    return description;
}

StatusOr<Json> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(ErrorKind::NotFound, "cannot read settings file " + path);
    std::stringstream text;
    text << file.rdbuf();
    return parseJson(text.str(), path);
}

Status applyOverride(Json &values, const std::string &assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0)
        return makeError(ErrorKind::InvalidRequest, "--set " + assignment + " is not key=value");
    const std::string text = assignment.substr(equals + 1);
    values[assignment.substr(0, equals)] = parseJson(text, assignment).value_or(Json(text));
    return absl::OkStatus();
}

StatusOr<Json> collectValues(const options::variables_map &parsedOptions)
{
    Json values = Json::object();
    if (parsedOptions.count("settings") != 0) {
        auto file = readFile(parsedOptions["settings"].as<std::string>());
        if (!file.ok())
            return file;
        values = *std::move(file);
    }
    if (parsedOptions.count("set") == 0)
        return values;
    for (const std::string &assignment : parsedOptions["set"].as<std::vector<std::string>>()) {
        const Status applied = applyOverride(values, assignment);
        if (!applied.ok())
            return applied;
    }
    return values;
}

ProgramSettings exitWith(int code)
{
    return {Json::object(), code};
}

} // namespace

ProgramSettings readProgramSettings(int argc, const char *const *argv, const char *program,
                                    const char *schemaText)
{
    const auto description = describeOptions();
    options::variables_map parsedOptions;
    try {
        options::store(options::parse_command_line(argc, argv, description), parsedOptions);
    } catch (const options::error &error) {
        std::cerr << program << ": " << error.what() << "\n" << description;
        return exitWith(usageExitCode);
    }
    if (parsedOptions.count("help") != 0) {
        std::cout << "Usage: " << program << " [options]\n" << description;
        return exitWith(0);
    }
    if (parsedOptions.count("version") != 0) {
        std::cout << program << " " << versionText << "\n";
        return exitWith(0);
    }
    const auto values = collectValues(parsedOptions);
    const Status valid = values.ok() ? requireSchema(schemaText, *values, "settings are not valid:")
                                     : values.status();
    if (!valid.ok()) {
        std::cerr << program << ": " << messageOf(valid) << "\n";
        return exitWith(usageExitCode);
    }
    if (parsedOptions.count("check-settings") != 0) {
        std::cout << "settings are valid\n";
        return exitWith(0);
    }
    return {*values, std::nullopt};
}

} // namespace lavenderarch
