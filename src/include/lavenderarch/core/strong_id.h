// Distinct string identifier types that do not convert into one another.
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lavenderarch {

/// Immutable identifier; `Tag` only distinguishes the types. Ordered and hashed by its text.
template <typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string &text() const { return m_text; }
    bool empty() const { return m_text.empty(); }

    friend bool operator==(const StrongId &, const StrongId &) = default;
    friend std::strong_ordering operator<=>(const StrongId &left, const StrongId &right)
    {
        return left.m_text.compare(right.m_text) <=> 0;
    }
    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.m_text;
    }

private:
    std::string m_text;
};

} // namespace lavenderarch

template <typename Tag>
struct std::hash<lavenderarch::StrongId<Tag>>
{
    std::size_t operator()(const lavenderarch::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
