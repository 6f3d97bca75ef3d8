#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// Strongly typed identifiers, so that the compiler rejects one kind of identifier in place of another.
namespace lycheelanding::core {

/// Textual identifier assigned by an operator or the platform. A valid one is not empty.
template <typename Tag>
class TextId
{
public:
    TextId() = default;
    explicit TextId(std::string text) : m_text(std::move(text)) { }

    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    // clang-tidy 14 takes the 0 of the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const TextId &) const = default;

    template <typename Archive>
    std::string save_minimal(const Archive &) const
    {
        return m_text;
    }

    template <typename Archive>
    void load_minimal(const Archive &, const std::string &text)
    {
        m_text = text;
    }

private:
    std::string m_text;
};

/// Numeric identifier, index or sequence number; `Tag` makes each use a distinct type.
template <typename Tag>
class NumberId
{
public:
    constexpr NumberId() = default;
    explicit constexpr NumberId(std::uint64_t number) : m_number(number) { }

    constexpr std::uint64_t number() const { return m_number; }
    constexpr NumberId next() const { return NumberId(m_number + 1); }

    // clang-tidy 14 takes the 0 of the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const NumberId &) const = default;

    template <typename Archive>
    std::uint64_t save_minimal(const Archive &) const
    {
        return m_number;
    }

    template <typename Archive>
    void load_minimal(const Archive &, const std::uint64_t &number)
    {
        m_number = number;
    }

private:
    std::uint64_t m_number = 0;
};

using VmId = TextId<struct VmTag>;
using DataCentreId = TextId<struct DataCentreTag>;
using OrganisationId = TextId<struct OrganisationTag>;
using ModelId = TextId<struct ModelTag>;
using ServiceId = TextId<struct ServiceTag>;
using GroupId = TextId<struct GroupTag>;
/// Identifies one submitted patch; a retry of the submission has the same id.
using PatchId = TextId<struct PatchTag>;

/// Version of the accepted configuration; 0 if none is known.
using ConfigurationVersion = NumberId<struct ConfigurationVersionTag>;
/// Identifies one incarnation of a process: a random number drawn at its start.
using Incarnation = NumberId<struct IncarnationTag>;
/// Number of a request within the incarnation of its entry.
using RequestNumber = NumberId<struct RequestNumberTag>;
/// Number of a rank group's formation; replacing a rank starts the next generation.
using Generation = NumberId<struct GenerationTag>;
/// Version of an expert map within a generation.
using MapVersion = NumberId<struct MapVersionTag>;
/// Number of a step that all ranks of a group execute in lock-step.
using StepNumber = NumberId<struct StepTag>;
/// Zero-based indexes: of a rank within its group, an expert within its layer, a layer within its model.
using RankIndex = NumberId<struct RankTag>;
using ExpertIndex = NumberId<struct ExpertTag>;
using LayerIndex = NumberId<struct LayerTag>;

} // namespace lycheelanding::core

template <typename Tag>
struct std::hash<lycheelanding::core::TextId<Tag>>
{
    std::size_t operator()(const lycheelanding::core::TextId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};

template <typename Tag>
struct std::hash<lycheelanding::core::NumberId<Tag>>
{
    std::size_t operator()(const lycheelanding::core::NumberId<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.number());
    }
};
