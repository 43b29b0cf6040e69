#include "Pollenwindctl/DocumentFile.h"

#include "Pollenwindctl/OperatorSettings.h"

namespace Pollenwind::Ctl {

std::expected<std::string, std::vector<std::string>> loadDocument(const std::string& path)
{
    auto text = readFile(path);
    if (!text) {
        return std::unexpected(std::vector { text.error().message });
    }
    const auto document = checkDocument(*text);
    if (!document) {
        std::vector<std::string> lines;
        for (const auto& fault : document.error()) {
            lines.push_back(formatFault(path, fault));
        }
        return std::unexpected(std::move(lines));
    }
    return std::move(*text);
}

} // namespace Pollenwind::Ctl
