#include "Config/PositionedJson.h"

#include "Config/Queries/CheckDocument.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace Pollenwind {

namespace {

    using Json = nlohmann::json;

    // Deeper documents are rejected, so that malicious input cannot exhaust the stack of recursive readers.
    constexpr std::size_t maxDepth = 32;

    // Builds the tree from the events of the SAX parser. The parser does not report positions, so a cursor follows the
    // events through the text; the parser has checked the grammar, so the cursor only needs to find token boundaries.
    class TreeBuilder final : public nlohmann::json_sax<Json> {
    public:
        explicit TreeBuilder(std::string_view text)
            : m_text(text)
        {
        }

        bool null() override { return add({ JsonKind::Null }); }
        bool boolean(bool value) override
        {
            JsonNode node { JsonKind::Boolean };
            node.boolean = value;
            return add(std::move(node));
        }
        bool number_integer(number_integer_t value) override { return addNumber(static_cast<double>(value), true); }
        bool number_unsigned(number_unsigned_t value) override { return addNumber(static_cast<double>(value), true); }
        bool number_float(number_float_t value, const string_t&) override { return addNumber(value, false); }
        bool string(string_t& value) override
        {
            JsonNode node { JsonKind::String };
            node.text = std::move(value);
            return add(std::move(node));
        }
        bool binary(binary_t&) override { return false; }
        bool start_object(std::size_t) override { return open(JsonKind::Object); }
        bool end_object() override { return close(); }
        bool start_array(std::size_t) override { return open(JsonKind::Array); }
        bool end_array() override { return close(); }
        bool key(string_t& value) override
        {
            m_keys.back() = { std::move(value), nextToken(), {} };
            skipToken();
            return true;
        }
        bool parse_error(std::size_t position, const std::string&, const Json::exception& ex) override
        {
            // The parser's position is that of the last byte read, from 1. The cursor stands at the start of the
            // offending token, except that it has skipped over an offending comma or colon.
            const auto lastRead = std::min(position > 0 ? position - 1 : 0, m_text.size());
            m_fault = faultAt(m_text, std::min(nextToken(), lastRead), describe(ex.what()));
            return false;
        }

        std::expected<JsonNode, DocumentFault> result(bool isParsed)
        {
            if (isParsed) {
                return std::move(m_root);
            }
            return std::unexpected(m_fault);
        }

    private:
        static std::string describe(std::string_view what)
        {
            // Library texts look like "[json.exception...] parse error at line 1, column 2: syntax error ...".
            // The text after "; last read" repeats the input, which can be of any length, and is removed.
            const auto start = what.find("syntax error");
            if (start != std::string_view::npos) {
                what = what.substr(start);
            } else if (const auto prefix = what.find("] "); prefix != std::string_view::npos) {
                what = what.substr(prefix + 2);
            }
            return "JSON " + std::string(what.substr(0, what.find("; last read")));
        }

        std::size_t nextToken()
        {
            while (m_cursor < m_text.size()) {
                const char c = m_text[m_cursor];
                if (c == '/') {
                    skipComment();
                } else if (std::string_view(" \t\r\n,:").find(c) != std::string_view::npos
                    || static_cast<unsigned char>(c) >= 0x80) {
                    // Bytes above 0x7f between tokens are a byte order mark.
                    ++m_cursor;
                } else {
                    break;
                }
            }
            return m_cursor;
        }

        void skipComment()
        {
            const bool isLine = m_text.substr(m_cursor, 2) == "//";
            const auto end = m_text.find(isLine ? "\n" : "*/", m_cursor + 2);
            m_cursor = end == std::string_view::npos ? m_text.size() : end + (isLine ? 1 : 2);
        }

        void skipToken()
        {
            if (m_cursor < m_text.size() && m_text[m_cursor] == '"') {
                ++m_cursor;
                while (m_cursor < m_text.size() && m_text[m_cursor] != '"') {
                    m_cursor += m_text[m_cursor] == '\\' ? 2 : 1;
                }
                ++m_cursor;
                return;
            }
            while (m_cursor < m_text.size()
                && std::string_view(" \t\r\n,:]}/").find(m_text[m_cursor]) == std::string_view::npos) {
                ++m_cursor;
            }
        }

        bool addNumber(double value, bool isInteger)
        {
            JsonNode node { JsonKind::Number };
            node.number = value;
            node.isInteger = isInteger;
            return add(std::move(node));
        }

        bool add(JsonNode node)
        {
            node.offset = nextToken();
            skipToken();
            attach(std::move(node));
            return true;
        }

        void attach(JsonNode node)
        {
            if (m_open.empty()) {
                m_root = std::move(node);
            } else if (m_open.back().kind == JsonKind::Array) {
                m_open.back().items.push_back(std::move(node));
            } else {
                auto& member = m_keys.back();
                member.value = std::move(node);
                m_open.back().members.push_back(std::move(member));
            }
        }

        bool open(JsonKind kind)
        {
            JsonNode node { kind };
            node.offset = nextToken();
            if (m_open.size() >= maxDepth) {
                m_fault = faultAt(m_text, node.offset, "nested deeper than " + std::to_string(maxDepth) + " levels");
                return false;
            }
            ++m_cursor;
            m_open.push_back(std::move(node));
            m_keys.emplace_back();
            return true;
        }

        bool close()
        {
            nextToken();
            ++m_cursor;
            JsonNode node = std::move(m_open.back());
            m_open.pop_back();
            m_keys.pop_back();
            attach(std::move(node));
            return true;
        }

        std::string_view m_text;
        std::size_t m_cursor = 0;
        std::vector<JsonNode> m_open;
        std::vector<JsonMember> m_keys;
        JsonNode m_root;
        DocumentFault m_fault;
    };

    // Length of the UTF-8 sequence at the start of a text, or 0 when it is malformed (RFC 3629).
    std::size_t sequenceLength(std::string_view text)
    {
        const auto byte = [&](std::size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U; };
        const auto isTail = [&](std::size_t i) { return (byte(i) & 0xC0U) == 0x80U; };
        const unsigned first = byte(0);
        const unsigned second = byte(1);
        if (first < 0x80U) {
            return 1;
        }
        if (first >= 0xC2U && first <= 0xDFU) {
            return isTail(1) ? 2 : 0;
        }
        if (first >= 0xE0U && first <= 0xEFU) {
            const bool isOverlong = first == 0xE0U && second < 0xA0U;
            const bool isSurrogate = first == 0xEDU && second > 0x9FU;
            return isTail(1) && isTail(2) && !isOverlong && !isSurrogate ? 3 : 0;
        }
        if (first >= 0xF0U && first <= 0xF4U) {
            const bool isOverlong = first == 0xF0U && second < 0x90U;
            const bool isBeyondLast = first == 0xF4U && second > 0x8FU;
            return isTail(1) && isTail(2) && isTail(3) && !isOverlong && !isBeyondLast ? 4 : 0;
        }
        return 0;
    }

    // Finds a NUL byte or invalid UTF-8. The parser would take a NUL byte for the end of the text and does not check
    // the encoding of comments, but the document is later sent as a JSON string, which must be UTF-8.
    std::optional<DocumentFault> findBadByte(std::string_view text)
    {
        for (std::size_t i = 0; i < text.size();) {
            if (text[i] == '\0') {
                return faultAt(text, i, "NUL byte");
            }
            const auto n = sequenceLength(text.substr(i));
            if (n == 0) {
                return faultAt(text, i, "invalid UTF-8");
            }
            i += n;
        }
        return std::nullopt;
    }

    // Escapes control characters, since names in a fault's text are printed on the operator's terminal.
    std::string printable(std::string_view text)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string result;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (byte < 0x20 || byte == 0x7F) {
                result += "\\x";
                result += digits[byte / 16];
                result += digits[byte % 16];
            } else {
                result += c;
            }
        }
        return result;
    }

} // namespace

DocumentFault faultAt(std::string_view text, std::size_t offset, std::string reason)
{
    const auto before = text.substr(0, std::min(offset, text.size()));
    const auto line = static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n')) + 1;
    const auto lineStart = before.rfind('\n');
    const auto column = lineStart == std::string_view::npos ? before.size() + 1 : before.size() - lineStart;
    return { line, column, printable(reason) };
}

std::expected<JsonNode, DocumentFault> parsePositionedJson(std::string_view text)
{
    if (auto fault = findBadByte(text)) {
        return std::unexpected(std::move(*fault));
    }
    TreeBuilder builder(text);
    const bool isParsed = Json::sax_parse(text, &builder, Json::input_format_t::json, true, true);
    return builder.result(isParsed);
}

} // namespace Pollenwind
