#pragma once

#include <string>

namespace lycheelanding::forwarding {

/// Names of the header fields that callers, entries and backend servers use; the platform's adapter sets them.
struct FieldNames
{
    /// Identifies one attempt of a caller; backend servers repeat it in the answer.
    std::string attempt;
    /// Remaining time in milliseconds for which the caller, or this entry, waits.
    std::string timeLeft;
    /// API key of the caller.
    std::string key;
    /// The organisation that holds the key; sent to the backend server.
    std::string organisation;
    /// Id of the only backend server that may run the request.
    std::string expectedBackend;
    /// In an answer: states that the request has not run.
    std::string notRun;
    /// Proves that an answer comes from the backend server itself.
    std::string proof;
    /// Number of prompt tokens and maximum number of answer tokens, separated by a comma.
    std::string tokens;
    /// The caller's estimate of the number of answer tokens.
    std::string lengthHint;
    /// Parts of the prompt in their order, as a comma-separated list of id and number of tokens, separated by a colon.
    /// The last part belongs to the request alone.
    std::string promptParts;
    /// In an answer: states that the backend server leaves.
    std::string leaving;
    /// In an answer: requests per second that the backend server takes from all entries together, a decimal number.
    std::string requestLimit;
    /// In an answer: remaining time in milliseconds for which the backend server is cold.
    std::string coldTime;
};

} // namespace lycheelanding::forwarding
