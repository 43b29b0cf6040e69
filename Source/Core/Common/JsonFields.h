#pragma once

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdint>
#include <string>

/// Reads fields of JSON objects that other processes wrote. A field that is missing or has another type reads as empty,
/// 0 or the fallback, so that records of another release do not throw.
namespace Pollenwind::JsonFields {

using Json = nlohmann::json;

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
    if (it->is_number()) {
        return it->get<std::int64_t>();
    }
    std::int64_t value = 0;
    if (it->is_string()) {
        const auto& text = it->get_ref<const std::string&>();
        std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
}

inline bool readBoolean(const Json& object, const char* name, bool fallback = false)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_boolean() ? it->get<bool>() : fallback;
}

/// Reads an unsigned integer that fits into 32 bits.
inline std::uint32_t readCount(const Json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_number_unsigned() ? it->get<std::uint32_t>() : 0;
}

} // namespace Pollenwind::JsonFields
