#include "Timeline/Log.h"

#include "Common/Clock.h"
#include "Timeline/LineWriter.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <cstdio>
#include <ctime>

namespace Pollenwind {

namespace {

    log4cxx::LoggerPtr logger()
    {
        static const log4cxx::LoggerPtr s_logger = log4cxx::Logger::getLogger("pollenwind");
        return s_logger;
    }

    /// Writes log lines to standard output.
    class LineAppender final : public log4cxx::AppenderSkeleton {
    public:
        void close() override { }
        bool requiresLayout() const override { return false; }

    protected:
        void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) override
        {
            m_writer.write(event->getMessage());
        }

    private:
        LineWriter m_writer { STDOUT_FILENO };
    };

    /// Current date and time in UTC (ISO 8601) with milliseconds.
    std::string timeText()
    {
        const auto now = SystemClock().wallNow();
        const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count() % 1000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 40> text {};
        const auto n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(text.data() + n, text.size() - n, ".%03dZ", static_cast<int>(milliseconds));
        return text.data();
    }

    /// Formats one JSON object with the time, the level, the name of the event and its fields.
    std::string formatLine(std::string_view level, std::string_view event, const EventFields& fields)
    {
        nlohmann::ordered_json line { { "time", timeText() }, { "level", level }, { "event", event } };
        for (const auto& [name, value] : fields) {
            line[name] = value;
        }
        // Text from other processes may be invalid UTF-8.
        return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    }

    // Without an appender, as in unit tests, log4cxx prints a warning for the first event.
    bool hasAppender() { return !log4cxx::Logger::getRootLogger()->getAllAppenders().empty(); }

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
    root->addAppender(std::make_shared<LineAppender>());
    root->setLevel(toLevel(level));
}

void logStateChange(std::string_view event, const EventFields& fields)
{
    if (hasAppender() && logger()->isInfoEnabled()) {
        LOG4CXX_INFO(logger(), formatLine("info", event, fields));
    }
}

void logWarning(std::string_view text)
{
    if (hasAppender()) {
        LOG4CXX_WARN(logger(), formatLine("warn", "warning", { { "text", std::string(text) } }));
    }
}

void logError(std::string_view text)
{
    if (hasAppender()) {
        LOG4CXX_ERROR(logger(), formatLine("error", "error", { { "text", std::string(text) } }));
    }
}

} // namespace Pollenwind
