#include "Common/Digest.h"
#include "Pollenwindctl/Commands/Commands.h"
#include "Pollenwindctl/Confirmation.h"
#include "Pollenwindctl/KeyForm.h"

namespace Pollenwind::Ctl {

namespace {

    class KeyGive final : public Command {
    public:
        void declare(TCLAP::CmdLine& line) override { line.add(m_organisation); }

        Task<ExitCode> run(Session& session) override
        {
            const auto key = generateKey();
            const auto digest = toHex(sha256(key));
            const auto keyId = digest.substr(0, keyIdDigits);
            const Json body
                = { { "digest", digest }, { "organisation", m_organisation.getValue() }, { "state", "valid" } };
            const auto given = co_await postWithFailover(session, "key", body);
            if (!given) {
                printError(session, "key give", given.error());
                if (given.error().runState != RunState::NotRun) {
                    session.err << "the key is not shown; if \"keys\" lists " << keyId << ", withdraw it\n";
                }
                co_return ExitCode::Failed;
            }
            session.out << "key " << key << "\nid " << keyId << "\n";
            co_return co_await waitUntilInForce(
                session, "keys", [keyId](const Json& keys) { return isKeyInState(keys, keyId, "valid"); });
        }

    private:
        TCLAP::UnlabeledValueArg<std::string> m_organisation { "organisation", "Organisation in the service document",
            true, "", "ORGANISATION" };
    };

} // namespace

std::unique_ptr<Command> makeKeyGive() { return std::make_unique<KeyGive>(); }

} // namespace Pollenwind::Ctl
