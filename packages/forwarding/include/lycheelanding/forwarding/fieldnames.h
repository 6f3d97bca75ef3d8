#pragma once

#include <string>

namespace lycheelanding::forwarding {

/// Names of the header fields that callers, entries and backend servers use; the platform's adapter gives them.
struct FieldNames
{
    /// Names one attempt of a caller; backend servers repeat it in the answer.
    std::string attempt;
    /// Milliseconds that the caller, or this entry, still waits.
    std::string timeLeft;
    /// A caller's secret.
    std::string key;
    /// The organisation that holds the key, told to the backend server.
    std::string organisation;
    /// Only the backend server of this name may run the request.
    std::string expectedBackend;
    /// In an answer: the request has not run.
    std::string notRun;
    /// Proves that an answer is the backend server's own.
    std::string proof;
    /// Prompt tokens and the largest number of answer tokens, with a comma between them.
    std::string tokens;
    /// The caller's estimate of the answer's tokens.
    std::string lengthHint;
};

} // namespace lycheelanding::forwarding
