#pragma once

#include <cstddef>
#include <expected>
#include <string>
#include <string_view>
#include <vector>

namespace Pollenwind {

struct DocumentFault;

/// Kind of a JSON value.
enum class JsonKind {
    Null,
    Boolean,
    Number,
    String,
    Array,
    Object,
};

struct JsonMember;

/// JSON value with its position in the source text.
struct JsonNode {
    JsonKind kind = JsonKind::Null;
    /// Byte offset of the value's first character.
    std::size_t offset = 0;
    /// Value of a Boolean.
    bool boolean = false;
    /// Value of a Number.
    double number = 0;
    /// True when a Number is written without fraction and exponent.
    bool isInteger = false;
    /// Value of a String.
    std::string text;
    /// Items of an Array.
    std::vector<JsonNode> items;
    /// Members of an Object, in order of appearance.
    std::vector<JsonMember> members;
};

/// Member of a JSON object. Members with duplicate names are kept.
struct JsonMember {
    std::string name;
    /// Byte offset of the name's opening quote.
    std::size_t offset = 0;
    JsonNode value;
};

/// Parses JSON with comments. The text must be UTF-8 without NUL bytes and nested at most 32 levels deep.
/// @return The value, or the first syntax fault.
std::expected<JsonNode, DocumentFault> parsePositionedJson(std::string_view text);

/// Creates a fault at a byte offset. Line and column count from 1, the column in bytes. Control characters in the
/// reason are escaped.
DocumentFault faultAt(std::string_view text, std::size_t offset, std::string reason);

} // namespace Pollenwind
