#pragma once

#include "lycheelanding/decisions/admission/queueforecast.h"
#include "lycheelanding/decisions/membership/entrydrain.h"
#include "lycheelanding/forwarding/backendset.h"
#include "lycheelanding/forwarding/eventlog.h"
#include "lycheelanding/forwarding/fieldnames.h"
#include "lycheelanding/forwarding/intaketracker.h"
#include "lycheelanding/forwarding/requestguard.h"
#include "lycheelanding/forwarding/retrybudgets.h"
#include "lycheelanding/forwarding/waitingrequests.h"
#include "lycheelanding/http/connectionpool.h"
#include "lycheelanding/report/metrics.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>

namespace lycheelanding::forwarding {

class ForwardedExchange;
using ExchangeRegistry = std::map<const ForwardedExchange *, std::weak_ptr<ForwardedExchange>>;

/// Resources that all requests of an entry share. Used on one thread.
struct ForwardingResources
{
    asio::io_context &context;
    const FieldNames &names;
    BackendSet &backends;
    RetryBudgets &retries;
    http::ConnectionPool &pool;
    EventLog &log;
    report::Metrics &metrics;
    WaitingRequests<ForwardedExchange> &waiting;
    /// Id of the last attempt of the process; each attempt increments it.
    AttemptId &lastAttempt;
    RequestGuard &requestGuard;
    IntakeTracker &intakeTracker;
    /// Called when a backend server has said in an answer that it leaves.
    const std::function<void(const BackendId &)> &onLeaving;
    decisions::admission::QueueForecast &queueForecast;
    /// All requests that have not ended.
    ExchangeRegistry &running;
    /// Those with a stream that another backend server can resume.
    ExchangeRegistry &resumableStreams;
    const decisions::membership::EntryDrain &drain;
};

/// A place at a backend server that an attempt takes.
struct ReservedBackend
{
    AttemptId attempt;
    ChosenBackend backend;
};

} // namespace lycheelanding::forwarding
