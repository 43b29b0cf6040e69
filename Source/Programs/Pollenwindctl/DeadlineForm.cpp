#include "Pollenwindctl/DeadlineForm.h"

#include <charconv>
#include <ctime>
#include <iomanip>
#include <memory>
#include <sstream>

namespace Pollenwind::Ctl {

namespace {

    // A move keeps both versions in memory until it ends, so a deadline further ahead is most likely a typing error.
    constexpr std::chrono::hours maxMoveDuration { 30 * 24 };

    // 2200-01-01. WallTime counts nanoseconds in 64 bits and overflows in 2262.
    constexpr std::time_t maxUnixTime = 7'258'118'400;

    std::optional<WallTime> parseDuration(std::string_view text)
    {
        if (text.size() < 2) {
            return std::nullopt;
        }
        std::int64_t seconds = 0;
        switch (text.back()) {
        case 's':
            seconds = 1;
            break;
        case 'm':
            seconds = 60;
            break;
        case 'h':
            seconds = 3600;
            break;
        default:
            return std::nullopt;
        }
        std::uint32_t n = 0;
        const auto digits = text.substr(0, text.size() - 1);
        const char* last = std::to_address(digits.end());
        const auto [end, error] = std::from_chars(std::to_address(digits.begin()), last, n);
        if (error != std::errc() || end != last || n > 1'000'000) {
            return std::nullopt;
        }
        return std::chrono::seconds(n * seconds);
    }

    std::optional<WallTime> parseTime(const std::string& text)
    {
        std::tm parts {};
        std::istringstream in(text);
        in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
        if (!in) {
            return std::nullopt;
        }
        const auto seconds = timegm(&parts);
        if (seconds < 0 || seconds > maxUnixTime) {
            return std::nullopt;
        }
        const WallTime time = std::chrono::seconds(seconds);
        // Formatting the result again detects trailing text and nonexistent days.
        return formatTime(time) == text ? std::optional(time) : std::nullopt;
    }

} // namespace

std::optional<WallTime> parseDeadline(std::string_view text, WallTime now)
{
    auto time = parseTime(std::string(text));
    if (const auto duration = parseDuration(text)) {
        time = now + *duration;
    }
    return time && *time > now && *time - now <= maxMoveDuration ? time : std::nullopt;
}

std::string formatTime(WallTime time)
{
    const auto seconds = static_cast<std::time_t>(std::chrono::duration_cast<std::chrono::seconds>(time).count());
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return out.str();
}

} // namespace Pollenwind::Ctl
