#pragma once

#include "Config/ServiceDocument.h"

#include <cstddef>
#include <expected>
#include <string>
#include <string_view>
#include <vector>

namespace Pollenwind {

/// One error in a service document or settings file. Line and column count from 1.
struct DocumentFault {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string reason;
};

/// Formats a fault as FILE:LINE:COLUMN: reason.
std::string formatFault(std::string_view file, const DocumentFault& fault);

/// Parses and validates a service document.
/// @param text JSON with comments.
/// @return The document, or every fault found, in order of position.
std::expected<ServiceDocument, std::vector<DocumentFault>> checkDocument(std::string_view text);

} // namespace Pollenwind
