#include "shared/acceptedlinks.h"

namespace lycheelanding::daemon::shared {

void AcceptedLinks::opened(const wire::PeerConnectionPointer &link)
{
    const std::scoped_lock lock(m_mutex);
    m_links.emplace(link, std::nullopt);
}

void AcceptedLinks::helloReceived(const wire::PeerConnectionPointer &link, const wire::Hello &hello)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_links.find(link);
    if (found != m_links.end()) {
        found->second = hello;
    }
}

void AcceptedLinks::closed(const wire::PeerConnectionPointer &link)
{
    const std::scoped_lock lock(m_mutex);
    m_links.erase(link);
}

void AcceptedLinks::sendToAll(const wire::Frame &frame)
{
    for (const auto &link : all()) {
        link->send(frame);
    }
}

void AcceptedLinks::closeAll()
{
    for (const auto &link : all()) {
        link->close();
    }
}

std::optional<wire::Role> AcceptedLinks::roleOf(const wire::PeerConnectionPointer &link) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_links.find(link);
    if (found == m_links.end() || !found->second) {
        return std::nullopt;
    }
    return found->second->role;
}

std::optional<core::VmId> AcceptedLinks::vmOf(const wire::PeerConnectionPointer &link) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_links.find(link);
    if (found == m_links.end() || !found->second) {
        return std::nullopt;
    }
    return found->second->vm;
}

wire::PeerConnectionPointer AcceptedLinks::find(const core::VmId &vm) const
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &[link, hello] : m_links) {
        if (hello && hello->vm == vm) {
            return link;
        }
    }
    return nullptr;
}

std::vector<wire::PeerConnectionPointer> AcceptedLinks::all() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<wire::PeerConnectionPointer> links;
    links.reserve(m_links.size());
    for (const auto &[link, hello] : m_links) {
        links.push_back(link);
    }
    return links;
}

} // namespace lycheelanding::daemon::shared
