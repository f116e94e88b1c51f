// Command line and settings file, common to all programs.
#pragma once

#include "lavenderarch/core/json.h"

#include <optional>
#include <string>

namespace lavenderarch {

/// Result of reading the command line: run with `values`, or exit at once when `exitCode` is set.
struct ProgramSettings
{
    Json values;
    std::optional<int> exitCode;

    friend bool operator==(const ProgramSettings &, const ProgramSettings &) = default;
};

/// Reads --help, --version, --settings FILE, --check-settings and --set key=value; validates the
/// result against `schemaText`. Prints help, version and every error itself.
ProgramSettings readProgramSettings(int argc, const char *const *argv, const char *program,
                                    const char *schemaText);

} // namespace lavenderarch
