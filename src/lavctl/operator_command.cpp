// Command table of lavctl and the translation of command words to HTTP requests.
#include "operator_command.h"

#include "lavenderarch/http/header_names.h"

#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>

namespace lavenderarch {
namespace {

/// One row of the command table. `argument` is the placeholder of the argument in usage texts;
/// empty if the command takes none.
struct CommandRow
{
    const char *noun;
    const char *verb;
    const char *argument;
    const char *method;
    const char *path; ///< '*' is replaced by the argument
    bool sendsFile;   ///< the argument is a file that is sent as the request body
    std::vector<std::string> columns;
};

const std::vector<CommandRow> &commandRows()
{
    static const std::vector<CommandRow> rows = {
        {"manifest", "validate", "FILE", "POST", "/v1/manifest/validate", true, {"/valid"}},
        {"manifest", "apply", "FILE", "PUT", "/v1/manifest", true, {"/version"}},
        {"manifest", "show", "", "GET", "/v1/manifest", false, {"/version", "/document"}},
        {"manifest",
         "history",
         "",
         "GET",
         "/v1/manifest/history",
         false,
         {"/version", "/acceptedAt", "/operatorName", "/cause"}},
        {"datacentre",
         "list",
         "",
         "GET",
         "/v1/datacentres",
         false,
         {"/name", "/region", "/state", "/author/operatorName", "/author/cause"}},
        {"datacentre", "out", "NAME", "POST", "/v1/datacentres/*/out", false, {"/name", "/state"}},
        {"datacentre",
         "back",
         "NAME",
         "POST",
         "/v1/datacentres/*/back",
         false,
         {"/name", "/state"}},
        {"job", "submit", "FILE", "POST", "/v1/jobs", true, {"/key", "/cell", "/tasks"}},
        {"job",
         "list",
         "",
         "GET",
         "/v1/jobs",
         false,
         {"/key", "/customer", "/kind", "/tasks", "/state"}},
        {"job",
         "show",
         "KEY",
         "GET",
         "/v1/jobs/*",
         false,
         {"/key", "/state", "/queued", "/running", "/done", "/failed", "/cancelled"}},
        {"job", "cancel", "KEY", "POST", "/v1/jobs/*/cancel", false, {"/key", "/state"}},
        {"endpoints",
         "",
         "",
         "GET",
         "/v1/endpoints",
         false,
         {"/endpoint", "/service", "/dataCentre", "/state", "/running", "/queued"}},
        {"cells",
         "",
         "",
         "GET",
         "/v1/cells",
         false,
         {"/cell", "/owner", "/epoch", "/workers", "/running", "/queued"}},
        {"vouchers", "", "", "GET", "/v1/vouchers", false, {"/customer", "/balance", "/spent"}},
        {"vouchers",
         "grant",
         "FILE",
         "POST",
         "/v1/vouchers",
         true,
         {"/customer", "/balance", "/spent"}},
        {"audit",
         "",
         "",
         "GET",
         "/v1/audit",
         false,
         {"/at", "/operatorName", "/subject", "/object", "/before", "/after", "/cause"}},
    };
    return rows;
}

StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(ErrorKind::NotFound, "cannot read " + path);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string substituteArgument(std::string path, const std::string &argument)
{
    const auto star = path.find('*');
    return star == std::string::npos ? path : path.replace(star, 1, argument);
}

StatusOr<OperatorCommand> buildFromRow(const CommandRow &row, const std::vector<std::string> &words,
                                       const OperatorOptions &options)
{
    const std::size_t fixedWords = *row.verb == '\0' ? 1 : 2;
    const std::size_t expectedWords = fixedWords + (*row.argument == '\0' ? 0 : 1);
    if (words.size() != expectedWords)
        return makeError(ErrorKind::InvalidRequest, std::string("usage: lavctl ") + row.noun + " " +
                                                        row.verb + " " + row.argument);
    const std::string argument = expectedWords > fixedWords ? words.back() : "";
    OperatorCommand command{{row.method, row.path, "", {}, ""}, row.columns};
    if (row.sendsFile) {
        const auto body = readFile(argument);
        if (!body.ok())
            return body.status();
        command.request.body = *body;
    }
    command.request.path = substituteArgument(row.path, argument);
    command.request.headers.set(header::operatorName, options.operatorName);
    command.request.headers.set(header::cause, options.cause);
    if (!options.expectedVersion.empty())
        command.request.headers.set("If-Match", options.expectedVersion);
    return command;
}

} // namespace

StatusOr<OperatorCommand> buildCommand(const std::vector<std::string> &words,
                                       const OperatorOptions &options)
{
    for (const CommandRow &row : commandRows()) {
        const bool nounMatches = !words.empty() && words[0] == row.noun;
        const bool verbMatches =
            *row.verb == '\0' ? words.size() == 1 : words.size() > 1 && words[1] == row.verb;
        if (nounMatches && verbMatches)
            return buildFromRow(row, words, options);
    }
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : " ") + word;
    return makeError(ErrorKind::InvalidRequest,
                     "unknown command '" + text + "'; see lavctl --help");
}

const char *commandSummary()
{
    static const std::string summary = [] {
        std::stringstream text;
        for (const CommandRow &row : commandRows())
            text << "  " << row.noun << " " << row.verb << " " << row.argument << "\n";
        return text.str();
    }();
    return summary.c_str();
}

} // namespace lavenderarch
