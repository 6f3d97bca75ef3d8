#pragma once

#include "common/faultinjector.h"
#include "engine/chatanswers.h"
#include "engine/enginereports.h"
#include "engine/expertloader.h"
#include "engine/mapswitch.h"
#include "engine/rankbatch.h"
#include "engine/stepbarrier.h"
#include "lycheelanding/http/httpclient.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::standins::engine {

/// HTTP interface of the engine: chat completions, reports, map commands and the step barrier of its group.
class EngineService
{
public:
    EngineService(asio::io_context &context, const Json &settings);

    void handle(const http::HttpExchangePointer &exchange);

private:
    enum class Phase : std::uint8_t {
        BetweenSteps,
        AtBarrier,
        InStep,
    };

    struct WaitingArrival
    {
        Incarnation incarnation = 0;
        http::HttpExchangePointer exchange;
    };

    bool handleReport(const http::HttpExchangePointer &exchange);
    void handleControl(const http::HttpExchangePointer &exchange);
    void startChat(const http::HttpExchangePointer &exchange, const ChatRequest &request);
    void cancelChat(RequestId id);
    http::HttpResponse applyMapCommand(const MapCommand &command);
    http::HttpResponse startGeneration(const Json &body);
    void handleArrival(const http::HttpExchangePointer &exchange);

    /// The step loop. Callbacks with an epoch other than the current one belong to an earlier generation and do
    /// nothing.
    void beginStep(std::uint64_t epoch);
    void sendArrival(std::uint64_t epoch);
    void handleBarrierAnswer(std::uint64_t epoch, const core::Result<http::HttpResponse> &result);
    void finishStep(std::uint64_t epoch);

    /// The functions below require the mutex to be held.
    Json state() const;
    BarrierArrival arrival() const;
    void completeBarrierIfAllArrived();
    /// Enters the step and schedules its end; fault mode `slow` makes it longer.
    void scheduleStepEnd(std::chrono::milliseconds duration);
    void scheduleBeginStep(std::chrono::milliseconds delay);
    std::chrono::milliseconds stepDuration(Step step) const;
    /// Batch of the rank that the request names, or of the least loaded rank; null for a rank of another engine.
    RankBatch *batchFor(const ChatRequest &request);
    bool isStalled() const { return m_faultInjector.mode() == common::FaultMode::Stall; }

    asio::io_context &m_context;
    const EngineSettings m_settings;
    const Incarnation m_incarnation;
    common::FaultInjector m_faultInjector;
    mutable std::mutex m_mutex;
    /// Multiplier of the step duration in fault mode `slow`.
    double m_slowFactor = 1;
    Phase m_phase = Phase::BetweenSteps;
    /// Incremented at the start of each generation.
    std::uint64_t m_epoch = 0;
    /// The last step that was begun.
    Step m_currentStep = 0;
    /// True until the engine has received the step of its group in this generation.
    bool m_joining = true;
    std::optional<Incarnation> m_rankZeroIncarnation;
    MapSwitch m_maps;
    /// Used only by the engine that holds rank 0.
    StepBarrier m_barrier;
    std::vector<WaitingArrival> m_waitingArrivals;
    Json m_lastBarrierAnswer = Json::object();
    RequestId m_lastRequestId = 0;
    std::vector<RankBatch> m_batches;
    ChatAnswers m_answers;
    EngineReports m_reports;
    ExpertLoader m_loader;
    /// Last member, so that it is destroyed, and its callbacks end, before the members that they use.
    http::HttpClient m_client;
};

} // namespace lycheelanding::standins::engine
