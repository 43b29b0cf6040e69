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

/// Collects the faults of one source text.
class FaultCollector {
public:
    explicit FaultCollector(std::string_view text)
        : m_text(text)
    {
    }

    void add(std::size_t offset, std::string reason) { m_faults.push_back({ offset, std::move(reason) }); }

    /// @return The faults in order of position. Beyond 100, the last entry counts the others.
    std::vector<DocumentFault> take();

private:
    struct Fault {
        std::size_t offset = 0;
        std::string reason;
    };

    std::string_view m_text;
    std::vector<Fault> m_faults;
};

/// Finds the known name that is closest to a misspelt one.
/// @return The name, or nothing when none is similar.
std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& known);

/// Reports a name that is not made of 1 to 64 letters, digits, '-', '_' or '.'.
void checkName(FaultCollector& faults, const std::string& name, std::size_t offset);

/// Range that a number must lie in.
struct NumberRange {
    double lowest = 0;
    double highest = 1e15;
};

/// Reads the fields of one JSON object with checks. Each read names a field; finish() reports the fields that no read
/// named. A field with a fault yields its default, so that one pass finds all faults.
class FieldReader {
public:
    /// @param node The value that must be an object.
    /// @param faults Where faults go.
    /// @param what What the object describes, for messages.
    FieldReader(const JsonNode& node, FaultCollector& faults, std::string what);

    /// Finds a field's value without checking its type.
    /// @return The value, or nullptr when absent.
    const JsonNode* find(const std::string& name);

    std::string requiredString(const std::string& name);
    std::string optionalString(const std::string& name, std::string fallback);
    double requiredNumber(const std::string& name, NumberRange range);
    double optionalNumber(const std::string& name, double fallback, NumberRange range);
    std::int64_t optionalInteger(const std::string& name, std::int64_t fallback, NumberRange range);
    bool optionalBoolean(const std::string& name, bool fallback);

    /// Reads an array of objects or strings.
    /// @param each Called for each item.
    void forEachItem(const std::string& name, const std::function<void(const JsonNode&)>& each);

    /// Reads an object whose member names are ids.
    /// @param each Called for each member; a duplicate name is a fault and not passed on.
    void forEachMember(const std::string& name, const std::function<void(const JsonMember&)>& each);

    /// Reads a name of an enum's table.
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
