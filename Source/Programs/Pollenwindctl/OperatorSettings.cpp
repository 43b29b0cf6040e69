#include "Pollenwindctl/OperatorSettings.h"

#include "Config/FieldReader.h"

#include <array>
#include <fstream>

namespace Pollenwind::Ctl {

std::expected<OperatorSettings, std::vector<DocumentFault>> parseOperatorSettings(std::string_view text)
{
    const auto root = parsePositionedJson(text);
    if (!root) {
        return std::unexpected(std::vector { root.error() });
    }
    FaultCollector faults(text);
    FieldReader fields(*root, faults, "the operator settings");
    OperatorSettings settings;
    fields.forEachItem("routers", [&](const JsonNode& node) {
        const auto endpoint = parseEndpoint(node.kind == JsonKind::String ? node.text : "");
        if (endpoint) {
            settings.routers.push_back(*endpoint);
        } else {
            faults.add(node.offset, endpoint.error().message);
        }
    });
    settings.token = fields.optionalString("token", "");
    settings.tokenFile = fields.optionalString("token_file", "");
    if (!settings.token.empty() && !settings.tokenFile.empty()) {
        faults.add(fields.offsetOf("token_file"), "give \"token\" or \"token_file\", not both");
    }
    fields.finish();
    auto found = faults.take();
    if (!found.empty()) {
        return std::unexpected(std::move(found));
    }
    return settings;
}

Outcome<std::vector<Endpoint>> parseRouterList(std::string_view text)
{
    std::vector<Endpoint> routers;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto endpoint = parseEndpoint(text.substr(0, comma));
        if (!endpoint) {
            return std::unexpected(endpoint.error());
        }
        routers.push_back(*endpoint);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return routers;
}

Outcome<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::array<char, 4096> buf {};
    while (file) {
        file.read(buf.data(), buf.size());
        text.append(buf.data(), static_cast<std::size_t>(file.gcount()));
    }
    // Opening a directory succeeds, but reading from it fails.
    if (!file.eof()) {
        return fail(ErrorCode::NotFound, path + ": cannot be read");
    }
    return text;
}

Outcome<std::string> readTokenFile(const std::string& path)
{
    auto text = readFile(path);
    if (text) {
        text->erase(text->find_last_not_of(" \t\r\n") + 1);
        if (text->empty()) {
            return fail(ErrorCode::Malformed, path + ": contains no token");
        }
    }
    return text;
}

} // namespace Pollenwind::Ctl
