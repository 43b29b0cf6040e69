#include "Pollenwindctl/TimelinePage.h"

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <iomanip>
#include <map>
#include <sstream>
#include <tuple>

namespace Pollenwind::Ctl {

namespace {

    constexpr int labelWidth = 220;
    constexpr int pictureWidth = 1000;
    constexpr int laneHeight = 36;
    constexpr int markRadius = 5;

    constexpr std::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>pollenwind timeline</title>
<style>
body { font: 14px sans-serif; margin: 1.5em; }
svg text { font: 12px monospace; }
line { stroke: #bbb; }
circle { fill: #2a6fb0; fill-opacity: 0.7; }
circle.fault { fill: #c0392b; }
td, th { font: 12px monospace; padding: 1px 10px 1px 0; text-align: left; }
</style></head><body><h1>pollenwind timeline</h1>
)";

    std::string escapeHtml(std::string_view text)
    {
        std::string result;
        for (const char c : text) {
            switch (c) {
            case '&':
                result += "&amp;";
                break;
            case '<':
                result += "&lt;";
                break;
            case '>':
                result += "&gt;";
                break;
            case '"':
                result += "&quot;";
                break;
            default:
                result += c;
            }
        }
        return result;
    }

    std::uint64_t wallMicroseconds(const Json& event)
    {
        const auto it = event.find("wall_us");
        return it != event.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
    }

    bool isFault(std::string_view kind)
    {
        static constexpr std::array s_faults { "configuration-rejected", "keys-unconfirmed", "member-suspected",
            "member-gone", "peer-link-down", "breaker-opened", "store-down", "move-taken-back", "lease-lost" };
        return std::ranges::find(s_faults, kind) != s_faults.end();
    }

    std::string renderMarker(const Json& event, double x, int y)
    {
        const auto kind = textField(event, "event");
        std::ostringstream out;
        out << R"(<circle cx=")" << x << R"(" cy=")" << y << R"(" r=")" << markRadius << '"'
            << (isFault(kind) ? R"( class="fault")" : "") << "><title>"
            << escapeHtml(eventTime(event) + " " + kind + " " + describeFields(event)) << "</title></circle>\n";
        return out.str();
    }

} // namespace

Json mergeEvents(const std::vector<Json>& responses)
{
    std::vector<Json> events;
    for (const auto& response : responses) {
        for (const auto& event : arrayField(response, "events")) {
            if (event.is_object()) {
                events.push_back(event);
            }
        }
    }
    const auto order = [](const Json& event) {
        return std::tuple(wallMicroseconds(event), numberField(event, "counter"), textField(event, "process"));
    };
    std::ranges::sort(events, {}, order);
    return events;
}

std::string describeFields(const Json& event)
{
    std::string text;
    const auto fields = objectField(event, "fields");
    for (const auto& [name, value] : fields.items()) {
        text += (text.empty() ? "" : " ") + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

std::string eventTime(const Json& event)
{
    const auto wall = wallMicroseconds(event);
    const auto seconds = static_cast<std::time_t>(wall / 1'000'000);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(6) << std::setfill('0') << wall % 1'000'000
        << 'Z';
    return out.str();
}

std::string renderTimelinePage(const Json& events)
{
    std::map<std::string, int> lanes;
    for (const auto& event : events) {
        lanes.emplace(textField(event, "process"), 0);
    }
    int n = 0;
    for (auto& [process, lane] : lanes) {
        lane = n++;
    }
    const auto first = events.empty() ? 0 : wallMicroseconds(events.front());
    const auto last = events.empty() ? 0 : wallMicroseconds(events.back());
    const auto span = static_cast<double>(std::max<std::uint64_t>(1, last - first));
    std::ostringstream out;
    out << pageHead << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << labelWidth + pictureWidth + 20
        << R"(" height=")" << (n + 1) * laneHeight << "\">\n";
    for (const auto& [process, lane] : lanes) {
        const int y = lane * laneHeight + laneHeight / 2;
        out << R"(<text x="0" y=")" << y + 4 << "\">" << escapeHtml(process) << "</text><line x1=\"" << labelWidth
            << R"(" x2=")" << labelWidth + pictureWidth << R"(" y1=")" << y << R"(" y2=")" << y << "\"/>\n";
    }
    for (const auto& event : events) {
        const auto x = labelWidth + pictureWidth * static_cast<double>(wallMicroseconds(event) - first) / span;
        out << renderMarker(event, x, lanes.at(textField(event, "process")) * laneHeight + laneHeight / 2);
    }
    out << "</svg>\n<table><tr><th>time</th><th>process</th><th>event</th><th>fields</th></tr>\n";
    for (const auto& event : events) {
        out << "<tr><td>" << eventTime(event) << "</td><td>" << escapeHtml(textField(event, "process")) << "</td><td>"
            << escapeHtml(textField(event, "event")) << "</td><td>" << escapeHtml(describeFields(event))
            << "</td></tr>\n";
    }
    out << "</table></body></html>\n";
    return out.str();
}

} // namespace Pollenwind::Ctl
