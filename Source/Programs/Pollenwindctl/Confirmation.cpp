#include "Pollenwindctl/Confirmation.h"

#include "Common/Sleep.h"

#include <algorithm>
#include <map>

namespace Pollenwind::Ctl {

namespace {

    /// A VM that is expected to confirm a change.
    struct Target {
        /// VM name, or the router's address where the name is unknown.
        std::string name;
        std::optional<Endpoint> router;
        bool isConfirmed = false;
        std::string reason;
    };

    bool isExpectedToConfirm(const std::string& state) { return state != "leaving" && state != "gone"; }

    /// Returns the live members. Their routers are the configured ones with the same VM name, or the administration
    /// addresses in the member list.
    Task<std::vector<Target>> findTargets(Session& session)
    {
        std::map<std::string, Endpoint> routerOfVm;
        std::vector<Target> configured;
        for (const auto& it : co_await queryAll(session, session.routers, "status")) {
            const auto vm = it.response ? textField(*it.response, "vm") : std::string();
            if (!vm.empty()) {
                routerOfVm.emplace(vm, it.router);
            }
            configured.push_back({ vm.empty() ? it.router.toString() : vm, it.router });
        }
        const auto members = co_await queryAny(session, "members");
        if (!members || arrayField(*members, "members").empty()) {
            co_return configured;
        }
        std::vector<Target> targets;
        for (const auto& member : arrayField(*members, "members")) {
            const auto vm = textField(member, "vm");
            if (vm.empty() || !isExpectedToConfirm(textField(member, "state"))) {
                continue;
            }
            Target target { vm };
            const auto known = routerOfVm.find(vm);
            if (known != routerOfVm.end()) {
                target.router = known->second;
            } else if (const auto admin = parseEndpoint(textField(member, "admin"))) {
                target.router = *admin;
            } else {
                target.reason = "its administration address is not known here";
            }
            targets.push_back(std::move(target));
        }
        co_return targets;
    }

    Task<> queryUnconfirmed(
        Session& session, const std::string& query, const ConfirmPredicate& isInForce, std::vector<Target>& targets)
    {
        std::vector<Endpoint> routers;
        std::vector<Target*> queried;
        for (auto& target : targets) {
            if (!target.isConfirmed && target.router) {
                routers.push_back(*target.router);
                queried.push_back(&target);
            }
        }
        const auto responses = co_await queryAll(session, routers, query);
        for (std::size_t i = 0; i < responses.size(); ++i) {
            const auto& response = responses[i].response;
            queried[i]->isConfirmed = response && isInForce(*response);
            queried[i]->reason = response ? "not in force yet" : "cannot be reached: " + response.error().message;
        }
    }

} // namespace

Task<ExitCode> waitUntilInForce(Session& session, std::string query, ConfirmPredicate isInForce)
{
    auto targets = co_await findTargets(session);
    const auto isPending = [](const Target& it) { return !it.isConfirmed && it.router; };
    const auto end = std::chrono::steady_clock::now() + session.confirmLimit;
    for (;;) {
        co_await queryUnconfirmed(session, query, isInForce, targets);
        if (std::ranges::none_of(targets, isPending) || std::chrono::steady_clock::now() >= end) {
            break;
        }
        co_await sleepFor(session.confirmInterval);
    }
    const auto confirmed = std::ranges::count_if(targets, &Target::isConfirmed);
    session.out << "in force on " << confirmed << " of " << targets.size() << "\n";
    for (const auto& it : targets) {
        if (!it.isConfirmed) {
            session.err << "not confirmed by " << it.name << ": " << it.reason << "\n";
        }
    }
    const bool isEverywhere = static_cast<std::size_t>(confirmed) == targets.size();
    co_return isEverywhere ? ExitCode::Done : ExitCode::Failed;
}

} // namespace Pollenwind::Ctl
