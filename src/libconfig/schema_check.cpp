// JSON Schema validation with valijson. Only this file includes its headers.
#include "lavenderarch/config/schema_check.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace lavenderarch {
namespace {

/// Converts valijson's context to a JSON pointer: "[name]" becomes "/name", "<root>" is dropped.
std::string pointerOf(const std::vector<std::string> &context)
{
    std::string pointer;
    for (const std::string &step : context) {
        if (step.size() >= 2 && step.front() == '[')
            pointer += "/" + step.substr(1, step.size() - 2);
    }
    return pointer.empty() ? "/" : pointer;
}

} // namespace

std::vector<SchemaViolation> checkSchema(const char *schemaText, const Json &document)
{
    valijson::Schema schema;
    valijson::SchemaParser parser;
    const Json schemaDocument = Json::parse(schemaText);
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results);
    std::vector<SchemaViolation> violations;
    valijson::ValidationResults::Error error;
    while (results.popError(error))
        violations.push_back({pointerOf(error.context), error.description});
    return violations;
}

Status requireSchema(const char *schemaText, const Json &document, std::string_view what)
{
    const auto violations = checkSchema(schemaText, document);
    if (violations.empty())
        return absl::OkStatus();
    std::string message(what);
    for (const SchemaViolation &violation : violations)
        message += "\n  " + violation.pointer + ": " + violation.message;
    return makeError(ErrorKind::InvalidRequest, message);
}

} // namespace lavenderarch
