#include "Keys/KeyTable.h"
#include "Timeline/Timeline.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace Pollenwind;

namespace {

struct Fixture {
    ManualClock clock;
    Timeline timeline { clock, "test" };
    KeyTable table { clock, timeline, std::chrono::seconds(3) };
};

KeyRecord makeRecord(KeyState state) { return { sha256("secret-key"), OrganisationId("garage"), state }; }

ErrorCode codeOf(const Outcome<KeyIdentity>& outcome)
{
    cr_assert(!outcome);
    return outcome.error().code;
}

} // namespace

// Guards against a withdrawn key that becomes valid again because records arrived in a different order.
Test(KeyTable, withdrawalWinsInAnyOrder)
{
    for (const bool isValidFirst : { true, false }) {
        Fixture f;
        f.table.confirm(f.clock.now());
        f.table.merge(makeRecord(isValidFirst ? KeyState::Valid : KeyState::Withdrawn));
        f.table.merge(makeRecord(isValidFirst ? KeyState::Withdrawn : KeyState::Valid));
        cr_assert(codeOf(f.table.identify("secret-key")) == ErrorCode::KeyWithdrawn);
        cr_assert(f.table.isWithdrawn(sha256("secret-key")));
    }
}

// Guards against a partitioned router that accepts keys more than 5 s after its key table was last confirmed.
Test(KeyTable, refusesKeysFiveSecondsAfterLastConfirmation)
{
    Fixture f;
    f.table.merge(makeRecord(KeyState::Valid));
    f.table.confirm(f.clock.now());
    f.clock.advance(std::chrono::seconds(5));
    cr_assert(f.table.identify("secret-key").has_value());
    f.clock.advance(std::chrono::nanoseconds(1));
    cr_assert(codeOf(f.table.identify("secret-key")) == ErrorCode::KeyUnconfirmed);
}

// Guards against an old confirmation that arrives late and shortens or extends the time of a newer one.
Test(KeyTable, ignoresEarlierConfirmations)
{
    Fixture f;
    const auto now = f.clock.now();
    f.table.confirm(now);
    f.table.confirm(now - std::chrono::seconds(4));
    cr_assert_eq(f.table.confirmationAge().count(), 0);
}

// Guards against a caller's key or its whole digest in the timeline.
Test(KeyTable, showsOnlyDigestStartInTimeline)
{
    Fixture f;
    f.table.merge(makeRecord(KeyState::Valid));
    f.table.merge(makeRecord(KeyState::Withdrawn));
    const auto events = f.timeline.events();
    cr_assert_eq(events.size(), 2);
    for (const auto& event : events) {
        for (const auto& [name, value] : event.fields) {
            cr_assert(value.find("secret-key") == std::string::npos);
            cr_assert(value.size() <= 12);
        }
    }
}

// Guards against a timeline that does not show since when a router's keys are unconfirmed.
Test(KeyTable, recordsChangesOfConfirmation)
{
    Fixture f;
    f.table.confirm(f.clock.now());
    f.table.recordConfirmation();
    f.table.recordConfirmation();
    f.clock.advance(std::chrono::milliseconds(2001));
    f.table.recordConfirmation();
    const auto events = f.timeline.events();
    cr_assert_eq(events.size(), 2);
    cr_assert(events[0].kind == EventKind::KeysConfirmed);
    cr_assert(events[1].kind == EventKind::KeysUnconfirmed);
}
