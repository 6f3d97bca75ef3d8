#include "logging/statelog.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <list>

namespace lycheelanding::daemon::logging {

namespace {

log4cxx::LevelPtr levelOf(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warning:
        return log4cxx::Level::getWarn();
    case Level::Error:
        break;
    }
    return log4cxx::Level::getError();
}

std::string &vmName()
{
    static std::string name;
    return name;
}

} // namespace

void startLogging(const std::string &minLevel, const std::string &vm)
{
    vmName() = vm;
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setLocationInfo(false);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(minLevel, log4cxx::Level::getInfo()));
}

void logChange(Level level, std::string_view message, std::initializer_list<LogField> fields)
{
    const auto logger = log4cxx::Logger::getLogger("lycheelanding");
    const auto logLevel = levelOf(level);
    if (!logger->isEnabledFor(logLevel)) {
        return;
    }
    std::list<log4cxx::MDC> context;
    context.emplace_back("vm", vmName());
    for (const auto &field : fields) {
        context.emplace_back(field.name, field.value);
    }
    logger->forcedLog(logLevel, std::string(message), log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace lycheelanding::daemon::logging
