#include "Common/Digest.h"
#include "Pollenwindctl/Commands/Commands.h"
#include "Pollenwindctl/Confirmation.h"
#include "Pollenwindctl/KeyForm.h"

#include <string>

namespace Pollenwind::Ctl {

namespace {

    class KeyWithdraw final : public Command {
    public:
        void declare(TCLAP::CmdLine& line) override { line.add(m_keyId); }

        Task<ExitCode> run(Session& session) override
        {
            const auto digits = readDigits(session);
            if (digits.empty()) {
                session.err << "key withdraw: KEY-ID is 8 to 64 of the digits that \"keys\" shows; give the key itself "
                               "on standard input with \"-\"\n";
                co_return ExitCode::BadInput;
            }
            const auto withdrawn
                = co_await postWithFailover(session, "key", { { "digest", digits }, { "state", "withdrawn" } });
            if (!withdrawn) {
                printError(session, "key withdraw: not accepted", withdrawn.error());
                co_return ExitCode::Failed;
            }
            session.out << "withdrawn " << digits.substr(0, keyIdDigits) << "\n";
            co_return co_await waitUntilInForce(
                session, "keys", [digits](const Json& keys) { return isKeyInState(keys, digits, "withdrawn"); });
        }

    private:
        std::string readDigits(Session& session) const
        {
            if (m_keyId.getValue() != "-") {
                return isKeyId(m_keyId.getValue()) ? m_keyId.getValue() : std::string();
            }
            std::string key;
            std::getline(session.in, key);
            key.erase(key.find_last_not_of(" \t\r\n") + 1);
            return key.empty() ? std::string() : toHex(sha256(key));
        }

        TCLAP::UnlabeledValueArg<std::string> m_keyId { "key-id",
            "First digits of the key's digest, as \"keys\" shows them; \"-\" reads the key from standard input", true,
            "", "KEY-ID" };
    };

} // namespace

std::unique_ptr<Command> makeKeyWithdraw() { return std::make_unique<KeyWithdraw>(); }

} // namespace Pollenwind::Ctl
