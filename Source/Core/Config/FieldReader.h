#pragma once

#include "Common/EnumTable.h"
#include "Config/PositionedJson.h"
#include "Config/Queries/CheckDocument.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Pollenwind {

/// Collects the faults (errors with a position) of one source text.
class FaultCollector {
public:
    explicit FaultCollector(std::string_view text)
        : m_text(text)
    {
    }

    void add(std::size_t offset, std::string reason) { m_faults.push_back({ offset, std::move(reason) }); }

    /// Removes and returns the faults, in order of position. When there are more than 100, the last entry gives the
    /// number of the others.
    std::vector<DocumentFault> take();

private:
    struct Fault {
        std::size_t offset = 0;
        std::string reason;
    };

    std::string_view m_text;
    std::vector<Fault> m_faults;
};

/// Finds the known name with the smallest edit distance to a misspelt one.
/// @return The name, or nothing when none is similar enough.
std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& known);

/// Adds a fault unless a name consists of 1 to 64 letters, digits, '-', '_' or '.'.
void checkName(FaultCollector& faults, const std::string& name, std::size_t offset);

/// Valid range of a number, both ends included.
struct NumberRange {
    double lowest = 0;
    double highest = 1e15;
};

/// Reads and validates the fields of one JSON object. finish() reports the fields that no function asked for. A field
/// with a fault yields its default, so that one pass finds all faults.
class FieldReader {
public:
    /// @param node The value; anything but an object is a fault.
    /// @param faults Receives the faults.
    /// @param what Name of the object in messages.
    FieldReader(const JsonNode& node, FaultCollector& faults, std::string what);

    /// Finds a field's value without checking its type. finish() then accepts the field.
    /// @return The value, or nullptr when the field is absent.
    const JsonNode* find(const std::string& name);

    std::string requiredString(const std::string& name);
    std::string optionalString(const std::string& name, std::string fallback);
    double requiredNumber(const std::string& name, NumberRange range);
    double optionalNumber(const std::string& name, double fallback, NumberRange range);
    std::int64_t optionalInteger(const std::string& name, std::int64_t fallback, NumberRange range);
    bool optionalBoolean(const std::string& name, bool fallback);

    /// Reads an array.
    /// @param each Called for each item; it checks the type of the item.
    void forEachItem(const std::string& name, const std::function<void(const JsonNode&)>& each);

    /// Reads an object whose member names are ids.
    /// @param each Called for each member, except those with a duplicate name, which is a fault.
    void forEachMember(const std::string& name, const std::function<void(const JsonMember&)>& each);

    /// Reads a string that names a value in the enum's table.
    template <typename E> E optionalEnum(const std::string& name, E fallback)
    {
        const auto* node = find(name);
        if (!node) {
            return fallback;
        }
        if (const auto value = fromName<E>(node->kind == JsonKind::String ? node->text : "")) {
            return *value;
        }
        std::string names;
        for (const auto& row : EnumTable<E>::rows) {
            names += (names.empty() ? "\"" : ", \"") + std::string(row.name) + "\"";
        }
        m_faults.add(node->offset, "\"" + name + "\" must be one of " + names);
        return fallback;
    }

    /// Offset of a field's value, or of the object when the field is absent.
    std::size_t offsetOf(const std::string& name);

    /// Reports unknown and duplicate fields.
    void finish();

private:
    const JsonNode* findOfKind(const std::string& name, JsonKind kind, std::string_view kindName);
    void reportMissing(const std::string& name);

    const JsonNode& m_node;
    FaultCollector& m_faults;
    std::string m_what;
    std::set<std::string> m_known;
};

} // namespace Pollenwind
