#include "entry/answerwriter.h"

#include "entry/basicanswerwriter.h"

namespace lycheelanding::daemon::entry {

template class BasicAnswerWriter<http::HttpExchange>;

} // namespace lycheelanding::daemon::entry
