#pragma once

#include "rounds/round.h"

namespace lycheelanding::rounds {

struct SoakPlan
{
    std::size_t entries = 2;
    std::size_t engines = 2;
    std::size_t plainServices = 2;
    std::size_t callers = 10;
    /// Events of each entry, side, backend server and of the operator.
    std::size_t events = 3;
};

/// Answers of the callers by outcome; the others are violations.
struct SoakCounts
{
    std::size_t answered = 0;
    std::size_t refused = 0;
    /// Requests whose connection was closed before they were read.
    std::size_t unread = 0;
};

struct SoakResult
{
    RoundResult round;
    SoakCounts counts;
};

/// Tests guarantees 2, 3, 4 and 6 together: each entry, side and backend server and the operator have their own series
/// of events, which overlap. Entries and sides get SIGTERM and are started again, backend servers become slow or silent
/// for up to two seconds, and the operator changes time limits, routes and the length of the document, while callers
/// use their connections until the entries close them. Each caller must get the whole of its own answer, or a refusal
/// that says truly that its request has not run and when to try again; requests with an idempotency key run at most
/// once, and every process exits with code 0.
SoakResult runSoakRound(std::uint64_t seed, const SoakPlan &plan);

} // namespace lycheelanding::rounds
