#include "Timeline/Log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>

namespace Pollenwind {

namespace {

    log4cxx::LoggerPtr logger()
    {
        static const log4cxx::LoggerPtr s_logger = log4cxx::Logger::getLogger("pollenwind");
        return s_logger;
    }

    log4cxx::LevelPtr toLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warn:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        case LogLevel::Off:
            break;
        }
        return log4cxx::Level::getOff();
    }

} // namespace

void configureLog(LogLevel level)
{
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    root->addAppender(appender);
    root->setLevel(toLevel(level));
}

void logStateChange(std::string_view what, const EventFields& fields)
{
    // Without an appender (unit tests) log4cxx would print a warning of its own.
    if (log4cxx::Logger::getRootLogger()->getAllAppenders().empty()) {
        return;
    }
    std::string line(what);
    for (const auto& [name, value] : fields) {
        line.append(" ").append(name).append("=").append(value);
    }
    LOG4CXX_INFO(logger(), line);
}

void logWarning(std::string_view text) { LOG4CXX_WARN(logger(), std::string(text)); }

void logError(std::string_view text) { LOG4CXX_ERROR(logger(), std::string(text)); }

} // namespace Pollenwind
