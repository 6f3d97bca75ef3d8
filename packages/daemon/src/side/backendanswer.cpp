#include "side/backendanswer.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace lycheelanding::daemon::side {

std::string encodeAnswer(const BackendAnswer &answer)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(answer.status, answer.headers, answer.body);
    }
    return std::move(stream).str();
}

core::Result<BackendAnswer> decodeAnswer(const std::string &text)
{
    try {
        std::istringstream stream(text);
        cereal::PortableBinaryInputArchive archive(stream);
        BackendAnswer answer;
        archive(answer.status, answer.headers, answer.body);
        return answer;
    } catch (const std::exception &exception) {
        return core::Error{core::ErrorKind::Internal, exception.what()};
    }
}

} // namespace lycheelanding::daemon::side
