#include "Config/FieldReader.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace Pollenwind {

namespace {

    // Finding the line of a fault scans the text, so without a limit a document full of faults takes quadratic time.
    constexpr std::size_t maxReportedFaults = 100;

    // Valid names have at most 64 characters, so much longer ones are not compared.
    constexpr std::size_t maxComparedName = 80;

    std::size_t editDistance(std::string_view a, std::string_view b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (std::size_t i = 1; i <= a.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j) {
                const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substituted });
            }
        }
        return row[b.size()];
    }

    std::string numberText(double value)
    {
        std::string text = std::to_string(value);
        text.erase(text.find_last_not_of('0') + 1);
        if (text.ends_with('.')) {
            text.pop_back();
        }
        return text;
    }

} // namespace

std::vector<DocumentFault> FaultCollector::take()
{
    std::ranges::sort(m_faults, {}, [](const Fault& it) { return std::tie(it.offset, it.reason); });
    std::vector<DocumentFault> faults;
    for (const auto& it : m_faults) {
        if (faults.size() == maxReportedFaults) {
            const auto others = std::to_string(m_faults.size() - maxReportedFaults);
            faults.push_back(faultAt(m_text, it.offset, others + " more faults"));
            break;
        }
        faults.push_back(faultAt(m_text, it.offset, it.reason));
    }
    m_faults.clear();
    return faults;
}

std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& known)
{
    std::optional<std::string> best;
    if (name.empty() || name.size() > maxComparedName) {
        return best;
    }
    // At least one character must match, or a name of one letter would be similar to every short name.
    std::size_t bestDistance = std::min(std::max<std::size_t>(2, name.size() / 3), name.size() - 1) + 1;
    for (const auto& it : known) {
        const auto distance = editDistance(name, it);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = it;
        }
    }
    return best;
}

void checkName(FaultCollector& faults, const std::string& name, std::size_t offset)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.';
    };
    if (name.empty() || name.size() > 64 || !std::ranges::all_of(name, isAllowed)) {
        faults.add(offset, "a name has 1 to 64 letters, digits, '-', '_' or '.'; got \"" + name.substr(0, 80) + "\"");
    }
}

FieldReader::FieldReader(const JsonNode& node, FaultCollector& faults, std::string what)
    : m_node(node)
    , m_faults(faults)
    , m_what(std::move(what))
{
    if (node.kind != JsonKind::Object) {
        m_faults.add(node.offset, m_what + " must be an object");
    }
}

const JsonNode* FieldReader::find(const std::string& name)
{
    m_known.insert(name);
    for (const auto& member : m_node.members) {
        if (member.name == name) {
            return &member.value;
        }
    }
    return nullptr;
}

const JsonNode* FieldReader::findOfKind(const std::string& name, JsonKind kind, std::string_view kindName)
{
    const auto* node = find(name);
    if (node && node->kind != kind) {
        m_faults.add(node->offset, "\"" + name + "\" must be " + std::string(kindName));
        return nullptr;
    }
    return node;
}

void FieldReader::reportMissing(const std::string& name)
{
    if (m_node.kind == JsonKind::Object && !find(name)) {
        m_faults.add(m_node.offset, m_what + " lacks the field \"" + name + "\"");
    }
}

std::string FieldReader::requiredString(const std::string& name)
{
    const auto* node = findOfKind(name, JsonKind::String, "a string");
    if (!node) {
        reportMissing(name);
        return {};
    }
    if (node->text.empty()) {
        m_faults.add(node->offset, "\"" + name + "\" must not be empty");
    }
    return node->text;
}

std::string FieldReader::optionalString(const std::string& name, std::string fallback)
{
    const auto* node = findOfKind(name, JsonKind::String, "a string");
    return node ? node->text : fallback;
}

double FieldReader::requiredNumber(const std::string& name, NumberRange range)
{
    if (!find(name)) {
        reportMissing(name);
        return range.lowest;
    }
    return optionalNumber(name, range.lowest, range);
}

double FieldReader::optionalNumber(const std::string& name, double fallback, NumberRange range)
{
    const auto* node = findOfKind(name, JsonKind::Number, "a number");
    if (!node) {
        return fallback;
    }
    if (!(node->number >= range.lowest && node->number <= range.highest)) {
        m_faults.add(node->offset,
            "\"" + name + "\" must be from " + numberText(range.lowest) + " to " + numberText(range.highest));
        return fallback;
    }
    return node->number;
}

std::int64_t FieldReader::optionalInteger(const std::string& name, std::int64_t fallback, NumberRange range)
{
    const auto* node = findOfKind(name, JsonKind::Number, "a whole number");
    if (!node) {
        return fallback;
    }
    if (!node->isInteger) {
        m_faults.add(node->offset, "\"" + name + "\" must be a whole number");
        return fallback;
    }
    return static_cast<std::int64_t>(optionalNumber(name, static_cast<double>(fallback), range));
}

bool FieldReader::optionalBoolean(const std::string& name, bool fallback)
{
    const auto* node = findOfKind(name, JsonKind::Boolean, "true or false");
    return node ? node->boolean : fallback;
}

void FieldReader::forEachItem(const std::string& name, const std::function<void(const JsonNode&)>& each)
{
    if (const auto* node = findOfKind(name, JsonKind::Array, "an array")) {
        for (const auto& item : node->items) {
            each(item);
        }
    }
}

void FieldReader::forEachMember(const std::string& name, const std::function<void(const JsonMember&)>& each)
{
    const auto* node = findOfKind(name, JsonKind::Object, "an object");
    if (!node) {
        return;
    }
    std::set<std::string> seen;
    for (const auto& member : node->members) {
        if (!seen.insert(member.name).second) {
            m_faults.add(member.offset, "duplicate name \"" + member.name + "\" in \"" + name + "\"");
        } else {
            each(member);
        }
    }
}

std::size_t FieldReader::offsetOf(const std::string& name)
{
    const auto* node = find(name);
    return node ? node->offset : m_node.offset;
}

void FieldReader::finish()
{
    const std::vector<std::string> known(m_known.begin(), m_known.end());
    std::set<std::string> seen;
    for (const auto& member : m_node.members) {
        if (!m_known.contains(member.name)) {
            const auto nearest = nearestName(member.name, known);
            m_faults.add(member.offset,
                "unknown field \"" + member.name + "\" in " + m_what
                    + (nearest ? "; did you mean \"" + *nearest + "\"?" : ""));
        } else if (!seen.insert(member.name).second) {
            m_faults.add(member.offset, "duplicate field \"" + member.name + "\" in " + m_what);
        }
    }
}

} // namespace Pollenwind
