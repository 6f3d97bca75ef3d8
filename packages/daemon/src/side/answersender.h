#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/delivery/answersequencer.h"
#include "lycheelanding/wire/messages.h"
#include "lycheelanding/wire/peerconnection.h"
#include "shared/configurationtable.h"

#include <string_view>
#include <vector>

namespace lycheelanding::daemon::side {

/// Sends the answer to one request to its entry: the head, numbered chunks, and an end with chunk count and checksum.
class AnswerSender
{
public:
    AnswerSender(wire::PeerConnectionPointer link, wire::RequestKey key, const shared::ConfigurationTable &table);

    /// Refuses the request instead of answering it.
    void refuse(const core::Error &error);
    void sendHead(int status, const http::HttpHeaders &headers);
    void sendChunk(std::string_view bytes);
    void finish();
    /// Ends the answer as broken.
    void fail(const core::Error &error);

private:
    template <typename Message>
    void send(const Message &message)
    {
        m_link->send(wire::makeFrame(message, m_table.version()));
    }

    void sendFrames(const std::vector<decisions::delivery::AnswerFrame> &frames);

    wire::PeerConnectionPointer m_link;
    wire::RequestKey m_key;
    const shared::ConfigurationTable &m_table;
    decisions::delivery::AnswerSequencer m_sequencer;
};

} // namespace lycheelanding::daemon::side
