// JSON parsing that reports errors as Status.
#include "lavenderarch/core/json.h"

namespace lavenderarch {

StatusOr<Json> parseJson(std::string_view text, std::string_view what)
{
    try {
        return Json::parse(text);
    } catch (const Json::exception &error) {
        return makeError(ErrorKind::InvalidRequest, std::string(what) + ": " + error.what());
    }
}

std::string jsonText(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace lavenderarch
