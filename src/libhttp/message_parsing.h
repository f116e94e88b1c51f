// What the event-driven server and the client have in common when they parse a message: its limits,
// and the copying of its fields.
#pragma once

#include "lavenderarch/http/http_headers.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string>

namespace lavenderarch {

/// Largest size of the first line and the header fields.
inline constexpr std::uint32_t maxHeadBytes = 16 * 1024;
/// Most header fields: each takes more memory than its text, and is compared with all others.
inline constexpr std::ptrdiff_t maxHeaderFields = 128;
/// Largest input that is held without having been parsed. The parser needs a whole head, a whole
/// chunk header with its extensions, and the trailers of a body at once.
inline constexpr std::size_t maxBufferBytes = std::size_t{2} * maxHeadBytes;

template <bool isRequest>
void limitParser(boost::beast::http::basic_parser<isRequest> &parser, std::size_t maxBodyBytes)
{
    parser.header_limit(maxHeadBytes);
    parser.body_limit(maxBodyBytes);
}

inline bool hasTooManyFields(const boost::beast::http::fields &fields)
{
    return std::distance(fields.begin(), fields.end()) > maxHeaderFields;
}

inline std::string textOf(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

inline HttpHeaders headersOf(const boost::beast::http::fields &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields)
        headers.set(textOf(field.name_string()), textOf(field.value()));
    return headers;
}

} // namespace lavenderarch
