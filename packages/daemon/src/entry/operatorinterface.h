#pragma once

#include "entry/backendtable.h"
#include "entry/instrumentedstore.h"
#include "entry/patchservice.h"
#include "entry/requestmetrics.h"
#include "shared/configurationtable.h"
#include "shared/configurationupdater.h"
#include "shared/peerlinks.h"
#include "shared/peerversiontable.h"

#include "lycheelanding/http/httpserver.h"
#include "lycheelanding/wire/messages.h"

#include <functional>

namespace lycheelanding::daemon::entry {

/// The components of the entry that operators query and control.
struct OperatorServices
{
    const wire::Hello &localHello;
    const shared::ConfigurationTable &configuration;
    const shared::ConfigurationUpdater &updater;
    const shared::PeerVersionTable &peers;
    const BackendTable &backends;
    const RequestMetrics &requestMetrics;
    shared::PeerLinks &sides;
    PatchService &patches;
    InstrumentedStore &store;
    std::function<wire::ServingState()> state;
    std::function<bool()> isReady;
};

/// HTTP interface of an entry for operators. Its resources are described in docs/design/operator-interface.md.
class OperatorInterface
{
public:
    explicit OperatorInterface(const OperatorServices &services);

    /// Answers a request for a resource of this interface. Returns false for any other request.
    bool answer(const http::HttpExchangePointer &exchange);

private:
    using Handler = void (OperatorInterface::*)(const http::HttpExchangePointer &);

    struct Route
    {
        std::string_view method;
        std::string_view path;
        Handler handler;
    };

    static const std::vector<Route> &routes();

    void answerHealth(const http::HttpExchangePointer &exchange);
    void answerReady(const http::HttpExchangePointer &exchange);
    void answerMetrics(const http::HttpExchangePointer &exchange);
    void answerBurn(const http::HttpExchangePointer &exchange);
    void answerStatus(const http::HttpExchangePointer &exchange);
    void answerConfiguration(const http::HttpExchangePointer &exchange);
    void answerHistory(const http::HttpExchangePointer &exchange);
    void answerConfigurationStatus(const http::HttpExchangePointer &exchange);
    void answerPatch(const http::HttpExchangePointer &exchange);
    void answerDrain(const http::HttpExchangePointer &exchange, std::string_view vm);

    OperatorServices m_services;
    core::SystemClock m_clock;
};

} // namespace lycheelanding::daemon::entry
