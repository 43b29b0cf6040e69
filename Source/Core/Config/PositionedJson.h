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

/// JSON value with its place in the source text.
struct JsonNode {
    JsonKind kind = JsonKind::Null;
    /// Byte offset of the value's first character.
    std::size_t offset = 0;
    bool boolean = false;
    double number = 0;
    bool isInteger = false;
    std::string text;
    std::vector<JsonNode> items;
    std::vector<JsonMember> members;
};

/// Member of a JSON object, in order of appearance; duplicates are kept.
struct JsonMember {
    std::string name;
    std::size_t offset = 0;
    JsonNode value;
};

/// Parses JSON with comments.
/// @param text The source.
/// @return The value, or the first syntax fault.
std::expected<JsonNode, DocumentFault> parsePositionedJson(std::string_view text);

/// Line and column, both from 1, of a byte offset.
DocumentFault faultAt(std::string_view text, std::size_t offset, std::string reason);

} // namespace Pollenwind
