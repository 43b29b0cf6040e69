#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Pollenwind {

/// Max-min fair shares of the organisations in the prompt tokens that a service has admitted lately: an organisation
/// that requests less than the level of the fair share may have all that it requests, each of the others the level.
///
/// Load pattern that it answers: one organisation sends a multiple of its usual load and takes the capacity of all
/// others. All sums decay alike, with a time constant of 2 s, so that their order and their level do not depend on when
/// they are compared.
class FairShares {
public:
    /// Organisations that are kept. Of more, the one with the smallest demand is dropped, which then counts as one that
    /// has sent nothing.
    static constexpr std::size_t maxOrganisations = 1024;

    /// Records a request, whether it is admitted or not.
    /// @param tokens Prompt tokens, as EngineRate::countedTokens() limits them.
    void recordDemand(MonotonicTime now, const OrganisationId& organisation, double tokens);
    /// Takes back the demand of a request that is refused for another reason than the load.
    void withdrawDemand(MonotonicTime now, const OrganisationId& organisation, double tokens);
    /// Records that a request was admitted whose demand was recorded before.
    void recordAdmitted(MonotonicTime now, const OrganisationId& organisation, double tokens);

    /// Whether more of an organisation's tokens were admitted than its fair share of all admitted tokens.
    bool isAboveShare(const OrganisationId& organisation) const;
    /// Part of an organisation's demand that is its fair share, from 0 to 1; 1 without demand.
    double shareOfDemand(const OrganisationId& organisation) const;
    std::size_t size() const { return m_entries.size(); }

private:
    /// Tokens of one organisation, in units that grow with the time from m_origin instead of decaying.
    struct Entry {
        OrganisationId organisation;
        double demand = 0;
        double admitted = 0;
    };

    /// Factor between tokens and the units of the entries.
    double unitsAt(MonotonicTime now);
    void moveOrigin(MonotonicTime now);
    Entry& entryOf(const OrganisationId& organisation);
    void remove(std::size_t index);
    const Entry* find(const OrganisationId& organisation) const;
    /// Largest part of a demand that is a fair share; infinite if all demand was admitted.
    double level() const;

    MonotonicTime m_origin { 0 };
    std::vector<Entry> m_entries;
    /// Positions in m_entries.
    std::map<OrganisationId, std::size_t> m_positions;
};

} // namespace Pollenwind
