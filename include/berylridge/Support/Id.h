// Distinct types for the names of nodes, zones, services, workspaces and targets, so that the
// compiler rejects a workspace's name where a target's is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace berylridge {

/// A name that operators or the platform assigned. Names of different kinds are incompatible types.
template <typename Kind>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text)
        : m_text(std::move(text))
    {
    }
    explicit Name(std::string_view text)
        : m_text(text)
    {
    }
    explicit Name(const char *text)
        : m_text(text)
    {
    }

    const std::string &str() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's 0 for a pointer.
    auto operator<=>(const Name &) const = default;
    bool operator==(const Name &) const = default;

    friend std::ostream &operator<<(std::ostream &out, const Name &name)
    {
        return out << name.m_text;
    }

private:
    std::string m_text;
};

using NodeId = Name<struct NodeKind>;
using ZoneId = Name<struct ZoneKind>;
using ServiceId = Name<struct ServiceKindTag>;
using WorkspaceId = Name<struct WorkspaceKind>;
using TargetId = Name<struct TargetKind>;

/// Identifies one process run of a node by its start time in wall-clock microseconds. Incarnations
/// may only be compared between runs of the same node.
using Incarnation = std::uint64_t;

} // namespace berylridge

template <typename Kind>
struct std::hash<berylridge::Name<Kind>>
{
    std::size_t operator()(const berylridge::Name<Kind> &name) const noexcept
    {
        return std::hash<std::string> {}(name.str());
    }
};
