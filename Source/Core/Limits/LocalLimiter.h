#pragma once

#include "Config/Queries/ConfigurationQueries.h"
#include "Limits/Commands/LimitCommands.h"
#include "Limits/Queries/LimitQueries.h"

#include <map>

namespace Pollenwind {

/// Token buckets for a fleet of one VM, which owns every organisation's whole rate and burst.
class LocalLimiter final : public LimitCommands, public LimitQueries {
public:
    LocalLimiter(const Clock& clock, const ConfigurationQueries& configuration);

    Task<Outcome<ReservationId>> reserve(OrganisationId organisation, double tokens, MonotonicTime deadline) override;
    void settle(ReservationId reservation, double used) override;
    std::vector<LimitStatus> status() const override;

private:
    struct Bucket {
        double level = 0;
        MonotonicTime refilledAt { 0 };
    };
    struct Reservation {
        OrganisationId organisation;
        double tokens = 0;
    };

    Bucket& refill(const OrganisationSpec& spec);

    const Clock& m_clock;
    const ConfigurationQueries& m_configuration;
    std::map<OrganisationId, Bucket> m_buckets;
    std::map<ReservationId, Reservation> m_reservations;
    std::uint64_t m_nextReservation = 1;
};

} // namespace Pollenwind
