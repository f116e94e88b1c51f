// Translates lavctl commands to HTTP requests.
#pragma once

#include "lavenderarch/core/address.h"
#include "lavenderarch/http/http_request.h"

#include <string>
#include <vector>

namespace lavenderarch {

/// Options of the lavctl command line.
struct OperatorOptions
{
    Address entry;
    std::string operatorName;
    std::string cause;
    std::string expectedVersion;
    bool json = false;

    friend bool operator==(const OperatorOptions &, const OperatorOptions &) = default;
};

/// A request to the entry, and the columns of its response to print (JSON pointers).
struct OperatorCommand
{
    HttpRequest request;
    std::vector<std::string> columns;

    friend bool operator==(const OperatorCommand &, const OperatorCommand &) = default;
};

/// Translates command words, such as {"datacentre", "out", "leicester"}, to a request.
/// Fails with InvalidRequest for an unknown command or a wrong number of words, and with NotFound
/// if a file argument cannot be read.
StatusOr<OperatorCommand> buildCommand(const std::vector<std::string> &words,
                                       const OperatorOptions &options);

/// List of commands for --help, one per line.
const char *commandSummary();

} // namespace lavenderarch
