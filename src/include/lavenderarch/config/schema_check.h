// Validation of JSON documents against JSON schemas.
#pragma once

#include "lavenderarch/config/schema_violation.h"
#include "lavenderarch/core/json.h"

#include <vector>

namespace lavenderarch {

/// All violations of `schemaText` (JSON Schema draft 7) by `document`; empty when it conforms.
std::vector<SchemaViolation> checkSchema(const char *schemaText, const Json &document);

/// InvalidRequest with every violation in one message that starts with `what`, or OK.
Status requireSchema(const char *schemaText, const Json &document, std::string_view what);

/// The schemas embedded in the library.
extern const char *const entrySchemaText;
extern const char *const agentSchemaText;
extern const char *const standinSchemaText;
extern const char *const manifestSchemaText;
extern const char *const jobSchemaText;

} // namespace lavenderarch
