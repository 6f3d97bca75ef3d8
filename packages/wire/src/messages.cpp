#include "lycheelanding/wire/messages.h"

#include "lycheelanding/core/nametable.h"

#include <array>

namespace lycheelanding::wire {

namespace {

using core::NameEntry;

constexpr std::array<NameEntry<MessageType>, 16> messageNames{{
    {MessageType::Hello, "hello"},
    {MessageType::Goodbye, "goodbye"},
    {MessageType::Heartbeat, "heartbeat"},
    {MessageType::RequestStart, "requestStart"},
    {MessageType::RequestCancel, "requestCancel"},
    {MessageType::RequestRefused, "requestRefused"},
    {MessageType::AnswerHead, "answerHead"},
    {MessageType::AnswerChunk, "answerChunk"},
    {MessageType::AnswerEnd, "answerEnd"},
    {MessageType::KeptAnswerQuery, "keptAnswerQuery"},
    {MessageType::ConfigurationFetch, "configurationFetch"},
    {MessageType::ConfigurationBody, "configurationBody"},
    {MessageType::MapSwitchOrder, "mapSwitchOrder"},
    {MessageType::MapSwitchReport, "mapSwitchReport"},
    {MessageType::ExpertCounts, "expertCounts"},
    {MessageType::BackendServerDrain, "backendServerDrain"},
}};

constexpr std::array<NameEntry<Role>, 2> roleNames{{
    {Role::Entry, "entry"},
    {Role::Side, "side"},
}};

constexpr std::array<NameEntry<ServingState>, 3> stateNames{{
    {ServingState::Serving, "serving"},
    {ServingState::Draining, "draining"},
    {ServingState::Stopped, "stopped"},
}};

} // namespace

std::string_view nameOf(MessageType type)
{
    return core::nameIn(messageNames, type);
}

bool isKnown(MessageType type)
{
    for (const auto &item : messageNames) {
        if (item.value == type) {
            return true;
        }
    }
    return false;
}

std::string_view nameOf(Role role)
{
    return core::nameIn(roleNames, role);
}

std::string_view nameOf(ServingState state)
{
    return core::nameIn(stateNames, state);
}

} // namespace lycheelanding::wire
