#include "Config/Settings.h"

#include "Config/FieldReader.h"

namespace Pollenwind {

namespace {

    // Short secrets can be guessed; 16 random hexadecimal digits have 64 bits.
    constexpr std::size_t minSecretLength = 16;

    constexpr NumberRange millisecondRange { 1, 86'400'000 };

    class SettingsChecker {
    public:
        explicit SettingsChecker(std::string_view text)
            : m_faults(text)
        {
        }

        std::expected<Settings, std::vector<DocumentFault>> check(const JsonNode& root)
        {
            FieldReader fields(root, m_faults, "the settings");
            if (root.kind != JsonKind::Object) {
                return std::unexpected(m_faults.take());
            }
            m_settings.vm = VmId(readName(fields, "vm"));
            m_settings.zone = ZoneId(readName(fields, "zone"));
            readSection(fields, "listen", [&](FieldReader& it) { readListen(it); }, true);
            readSection(fields, "store", [&](FieldReader& it) { readStore(it); }, true);
            readSection(fields, "secrets", [&](FieldReader& it) { readSecrets(it); }, true);
            fields.forEachItem("seed_peers", [&](const JsonNode& it) { readSeedPeer(it); });
            readSection(fields, "limits", [&](FieldReader& it) { readLimits(it); });
            readSection(fields, "timeouts", [&](FieldReader& it) { readTimeouts(it); });
            readSection(fields, "keys", [&](FieldReader& it) {
                readMilliseconds(it, "unconfirmed_limit_ms", m_settings.keysUnconfirmedLimit);
            });
            readSection(fields, "shutdown", [&](FieldReader& it) {
                readMilliseconds(it, "listen_ms", m_settings.shutdownListenTime);
                readMilliseconds(it, "limit_ms", m_settings.shutdownLimit);
            });
            readSection(fields, "log",
                [&](FieldReader& it) { m_settings.logLevel = it.optionalEnum("level", m_settings.logLevel); });
            fields.finish();
            auto faults = m_faults.take();
            if (!faults.empty()) {
                return std::unexpected(std::move(faults));
            }
            return std::move(m_settings);
        }

    private:
        template <typename Read>
        void readSection(FieldReader& fields, const std::string& name, Read read, bool isRequired = false)
        {
            static const JsonNode s_emptyObject { JsonKind::Object };
            const auto* node = fields.find(name);
            if (!node && isRequired) {
                m_faults.add(fields.offsetOf(name), "the settings lack the section \"" + name + "\"");
                return;
            }
            FieldReader section(node ? *node : s_emptyObject, m_faults, "section \"" + name + "\"");
            read(section);
            section.finish();
        }

        std::string readName(FieldReader& fields, const std::string& name)
        {
            auto text = fields.requiredString(name);
            if (!text.empty()) {
                checkName(m_faults, text, fields.offsetOf(name));
            }
            return text;
        }

        void readEndpoint(FieldReader& fields, const std::string& name, Endpoint& endpoint)
        {
            const auto text = fields.requiredString(name);
            if (text.empty()) {
                return;
            }
            if (auto parsed = parseEndpoint(text)) {
                endpoint = *parsed;
            } else {
                m_faults.add(fields.offsetOf(name), parsed.error().message);
            }
        }

        static void readMilliseconds(FieldReader& fields, const std::string& name, std::chrono::milliseconds& value)
        {
            value = std::chrono::milliseconds(fields.optionalInteger(name, value.count(), millisecondRange));
        }

        static void readSize(FieldReader& fields, const std::string& name, std::size_t& value, NumberRange range)
        {
            value = static_cast<std::size_t>(fields.optionalInteger(name, static_cast<std::int64_t>(value), range));
        }

        void readListen(FieldReader& fields)
        {
            readEndpoint(fields, "callers", m_settings.listenCallers);
            readEndpoint(fields, "admin", m_settings.listenAdmin);
            readEndpoint(fields, "peers", m_settings.listenPeers);
            const auto checkOther = [&](const std::string& name, const Endpoint& endpoint, const Endpoint& other) {
                if (endpoint.port != 0 && endpoint == other) {
                    m_faults.add(
                        fields.offsetOf(name), "address " + endpoint.toString() + " is used twice in \"listen\"");
                }
            };
            checkOther("admin", m_settings.listenAdmin, m_settings.listenCallers);
            checkOther("peers", m_settings.listenPeers, m_settings.listenCallers);
            checkOther("peers", m_settings.listenPeers, m_settings.listenAdmin);
        }

        void readStore(FieldReader& fields)
        {
            readEndpoint(fields, "endpoint", m_settings.store);
            readMilliseconds(fields, "call_timeout_ms", m_settings.storeCallTimeout);
            readMilliseconds(fields, "start_jitter_ms", m_settings.storeStartJitter);
        }

        void readSecret(FieldReader& fields, const std::string& name, std::string& value)
        {
            value = fields.requiredString(name);
            if (!value.empty() && value.size() < minSecretLength) {
                m_faults.add(fields.offsetOf(name),
                    "\"" + name + "\" must have at least " + std::to_string(minSecretLength) + " characters");
            }
        }

        void readSecrets(FieldReader& fields)
        {
            readSecret(fields, "cluster", m_settings.clusterSecret);
            readSecret(fields, "admin", m_settings.adminToken);
        }

        void readSeedPeer(const JsonNode& node)
        {
            auto endpoint = parseEndpoint(node.kind == JsonKind::String ? node.text : "");
            if (endpoint) {
                m_settings.seedPeers.push_back(*endpoint);
            } else {
                m_faults.add(node.offset, endpoint.error().message);
            }
        }

        void readLimits(FieldReader& fields)
        {
            auto& limits = m_settings.httpLimits;
            readSize(fields, "header_bytes", limits.headerBytes, { 1024, 1 << 20 });
            readSize(fields, "body_bytes", limits.bodyBytes, { 1024, 1 << 30 });
            readSize(fields, "connections", limits.connections, { 1, 1'000'000 });
        }

        void readTimeouts(FieldReader& fields)
        {
            auto& limits = m_settings.httpLimits;
            readMilliseconds(fields, "header_ms", limits.headerTimeout);
            readMilliseconds(fields, "body_ms", limits.bodyTimeout);
            readMilliseconds(fields, "idle_ms", limits.idleTimeout);
            readMilliseconds(fields, "write_ms", limits.writeTimeout);
            readMilliseconds(fields, "request_ms", m_settings.requestDeadline);
            readMilliseconds(fields, "rate_wait_ms", m_settings.rateWaitLimit);
            readMilliseconds(fields, "connect_ms", m_settings.connectTimeout);
            readMilliseconds(fields, "first_token_ms", m_settings.firstTokenTimeout);
            readMilliseconds(fields, "token_gap_ms", m_settings.tokenGapTimeout);
            readMilliseconds(fields, "health_interval_ms", m_settings.healthInterval);
        }

        FaultCollector m_faults;
        Settings m_settings;
    };

} // namespace

std::expected<Settings, std::vector<DocumentFault>> parseSettings(std::string_view text)
{
    const auto root = parsePositionedJson(text);
    if (!root) {
        return std::unexpected(std::vector { root.error() });
    }
    return SettingsChecker(text).check(*root);
}

} // namespace Pollenwind
