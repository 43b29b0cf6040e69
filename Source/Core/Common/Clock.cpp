#include "Common/Clock.h"

#include <ctime>

namespace Pollenwind {

namespace {

    std::chrono::nanoseconds readClock(clockid_t id)
    {
        timespec ts {};
        clock_gettime(id, &ts);
        return std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
    }

} // namespace

MonotonicTime SystemClock::now() const { return readClock(CLOCK_BOOTTIME); }

WallTime SystemClock::wallNow() const { return readClock(CLOCK_REALTIME); }

} // namespace Pollenwind
