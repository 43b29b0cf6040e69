#include "Router/Queries/KeyDigest.h"

namespace Pollenwind {

namespace {

    constexpr std::size_t minDigits = 8;
    constexpr std::size_t allDigits = 64;

} // namespace

Outcome<std::string> resolveKeyDigest(const KeyQueries& keys, std::string_view digits)
{
    const bool isHex = digits.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    if (!isHex || digits.size() < minDigits || digits.size() > allDigits) {
        return fail(ErrorCode::Malformed, "\"digest\" must be 8 to 64 lower-case hexadecimal digits");
    }
    if (digits.size() == allDigits) {
        return std::string(digits);
    }
    std::string found;
    for (const auto& record : keys.records()) {
        const auto hex = toHex(record.digest);
        if (!hex.starts_with(digits)) {
            continue;
        }
        if (!found.empty()) {
            return fail(ErrorCode::Conflict, "several keys begin with these digits");
        }
        found = hex;
    }
    if (found.empty()) {
        return fail(ErrorCode::NotFound, "no known key begins with these digits");
    }
    return found;
}

} // namespace Pollenwind
