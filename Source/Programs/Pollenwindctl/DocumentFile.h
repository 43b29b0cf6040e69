#pragma once

#include "Config/Queries/CheckDocument.h"

#include <expected>
#include <string>
#include <vector>

namespace Pollenwind::Ctl {

/// Reads and validates a service document.
/// @return The text, or one line "FILE:LINE:COLUMN: reason" for each fault.
std::expected<std::string, std::vector<std::string>> loadDocument(const std::string& path);

} // namespace Pollenwind::Ctl
