#include "Pollenwindctl/KeyForm.h"

#include "Common/Digest.h"

#include <algorithm>

namespace Pollenwind::Ctl {

namespace {

    constexpr std::size_t minKeyIdDigits = 8;

} // namespace

std::string generateKey() { return "pw-" + randomToken() + randomToken(); }

bool isKeyId(std::string_view text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() >= minKeyIdDigits && text.size() <= 64 && std::ranges::all_of(text, isDigit);
}

bool isKeyInState(const Json& keys, std::string_view keyId, std::string_view state)
{
    return std::ranges::any_of(arrayField(keys, "keys"), [&](const Json& it) {
        const auto shown = textField(it, "key");
        const auto n = std::min(shown.size(), keyId.size());
        return n >= minKeyIdDigits && shown.substr(0, n) == keyId.substr(0, n) && textField(it, "state") == state;
    });
}

} // namespace Pollenwind::Ctl
