// JSON names of enumerations.
#pragma once

#include "lavenderarch/core/json.h"

#include <algorithm>
#include <iterator>

/// Names the values of `Type` in JSON: {{Type::A, "a"}, ...}. Unlike the library's macro, which
/// reads an unknown name as the first value, reading one throws Json::other_error.
// NOLINTNEXTLINE(cppcoreguidelines-macro-usage)
#define LAVENDER_JSON_ENUM(Type, ...)                                                              \
    inline void to_json(nlohmann::json &out, Type value)                                           \
    {                                                                                              \
        static const std::pair<Type, const char *> names[] = __VA_ARGS__;                          \
        const auto *name = std::find_if(std::begin(names), std::end(names),                        \
                                        [=](const auto &pair) { return pair.first == value; });    \
        out = name == std::end(names) ? nlohmann::json() : nlohmann::json(name->second);           \
    }                                                                                              \
    inline void from_json(const nlohmann::json &in, Type &value)                                   \
    {                                                                                              \
        static const std::pair<Type, const char *> names[] = __VA_ARGS__;                          \
        const auto *text = in.get_ptr<const std::string *>();                                      \
        const auto *name =                                                                         \
            std::find_if(std::begin(names), std::end(names), [=](const auto &pair) {               \
                return text != nullptr && *text == pair.second;                                    \
            });                                                                                    \
        if (name == std::end(names))                                                               \
            throw nlohmann::json::other_error::create(501, "unknown name of a " #Type, &in);       \
        value = name->first;                                                                       \
    }
