// The ObjectStore concept: interface to the object store of the platform.
#pragma once

#include "lavenderarch/core/status.h"
#include "lavenderarch/core/time.h"

#include <concepts>
#include <string>

namespace lavenderarch {

/// Thread-safe access to whole objects by name. Errors: NotFound, StoreUnavailable.
template <typename T>
concept ObjectStore = requires(T store, const std::string &text, TimePoint deadline)
{
    {
        store.get(text, deadline)
        } -> std::same_as<StatusOr<std::string>>;
    {
        store.put(text, text, deadline)
        } -> std::same_as<Status>;
    {
        store.remove(text, deadline)
        } -> std::same_as<Status>;
};

} // namespace lavenderarch
