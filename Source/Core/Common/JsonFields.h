#pragma once

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

/// Reads fields of JSON objects that other processes wrote. A field that is missing, has another type or is out of
/// range reads as empty, 0 or the fallback, so that records of another release do not throw.
namespace Pollenwind::JsonFields {

using Json = nlohmann::json;

/// Deepest nesting of a record. Those of the platform have up to 5 levels.
inline constexpr std::size_t maxDepth = 64;

namespace detail {

    /// Whether arrays and objects are nested deeper than maxDepth. The text may be malformed.
    inline bool isTooDeep(std::string_view text)
    {
        std::size_t depth = 0;
        bool isInString = false;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const char c = text[i];
            if (isInString) {
                i += c == '\\' ? 1 : 0;
                isInString = c != '"';
            } else if (c == '"') {
                isInString = true;
            } else if (c == '[' || c == '{') {
                if (++depth > maxDepth) {
                    return true;
                }
            } else if ((c == ']' || c == '}') && depth > 0) {
                --depth;
            }
        }
        return false;
    }

} // namespace detail

/// Parses a record of another process.
/// @return The object; nothing for text that is malformed, nested deeper than maxDepth or no object.
inline std::optional<Json> parseObject(std::string_view text)
{
    if (detail::isTooDeep(text)) {
        return std::nullopt;
    }
    auto json = Json::parse(text, nullptr, false);
    return json.is_object() ? std::optional(std::move(json)) : std::nullopt;
}

/// @return The integer; nothing for another type, a fraction or a number that does not fit into 64 bits.
inline std::optional<std::int64_t> wholeNumber(const Json& json)
{
    constexpr auto largest = std::numeric_limits<std::int64_t>::max();
    if (json.is_number_unsigned()) {
        const auto value = json.get<std::uint64_t>();
        return value <= static_cast<std::uint64_t>(largest) ? std::optional(static_cast<std::int64_t>(value))
                                                            : std::nullopt;
    }
    if (json.is_number_integer()) {
        return json.get<std::int64_t>();
    }
    // Beyond this bound a double does not hold all integers.
    constexpr double largestExact = 9007199254740992.0;
    const auto value = json.is_number_float() ? json.get<double>() : 0.5;
    return std::abs(value) <= largestExact && std::trunc(value) == value
        ? std::optional(static_cast<std::int64_t>(value))
        : std::nullopt;
}

inline std::string readString(const Json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Reads an integer; 64-bit integers may be written as strings, as the etcd gateway does.
inline std::int64_t readNumber(const Json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end()) {
        return 0;
    }
    if (!it->is_string()) {
        return wholeNumber(*it).value_or(0);
    }
    std::int64_t value = 0;
    const auto& text = it->get_ref<const std::string&>();
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() && end == text.data() + text.size() ? value : 0;
}

inline bool readBoolean(const Json& object, const char* name, bool fallback = false)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_boolean() ? it->get<bool>() : fallback;
}

/// Reads an unsigned integer that fits into 32 bits.
inline std::uint32_t readCount(const Json& object, const char* name, std::uint32_t fallback = 0)
{
    const auto it = object.find(name);
    const auto value = it == object.end() ? std::nullopt : wholeNumber(*it);
    const bool fits = value && *value >= 0 && *value <= std::numeric_limits<std::uint32_t>::max();
    return fits ? static_cast<std::uint32_t>(*value) : fallback;
}

} // namespace Pollenwind::JsonFields
