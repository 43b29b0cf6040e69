#include "Gateway/QuarantineVm.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr PartId deadly = 3;

void report(QuarantineVm& sender, QuarantineVm& receiver)
{
    receiver.quarantine.mergeReport(sender.quarantine.takeReport(), true);
}

} // namespace

// Guards against a VM that started after the first crashes and saw the last one itself: the others name the part from
// its evidence, and it must not wait for their regular list to learn that.
Test(PartQuarantine, isKnownToAVmWhoseEvidenceNamesThePart)
{
    ManualClock clock;
    QuarantineVm known(clock);
    for (std::uint64_t crash = 1; crash <= 2; ++crash) {
        known.quarantine.recordCrash("runner", crash, std::array { deadly });
    }
    QuarantineVm started(clock);
    for (unsigned n = 0; n < 4; ++n) {
        clock.advance(250ms);
        // Not received, as before the start.
        known.quarantine.takeReport();
    }
    started.quarantine.recordCrash("runner", 3, std::array { deadly });
    report(started, known);
    cr_assert(known.isQuarantined(deadly));
    cr_assert(!started.isQuarantined(deadly));
    clock.advance(250ms);
    report(known, started);
    cr_assert(started.isQuarantined(deadly));
    for (unsigned n = 0; n < 4; ++n) {
        clock.advance(250ms);
        report(started, known);
        const auto report = known.quarantine.takeReport();
        cr_assert(report.parts.empty(), "evidence that is sent again brings no further list");
    }
}

// Guards against a report that has several crashes of one part, as after lost datagrams: the part was weighed once for
// each of them, which ended the process.
Test(PartQuarantine, namesAPartBySeveralCrashesInOneReport)
{
    ManualClock clock;
    QuarantineVm sender(clock);
    QuarantineVm receiver(clock);
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        sender.quarantine.recordCrash("runner", crash, std::array { deadly, deadly });
    }
    report(sender, receiver);
    cr_assert(receiver.isQuarantined(deadly));
    cr_assert_eq(receiver.quarantine.quarantinedParts().size(), 1);
}

// A crash with hundreds of parts fills the queue. An urgent item, such as a lifted quarantine, was dropped then, and
// the other VMs went on refusing a sound part.
Test(QuarantineNews, keepsUrgentItemsInAFullQueue)
{
    struct News {
        PartId part = 0;
        std::chrono::milliseconds age { 0 };
    };
    QuarantineNews<News> news;
    for (std::size_t n = 0; n < 2 * QuarantineNews<News>::maxPending; ++n) {
        news.add({ { n + 1 }, 1s, 3, false });
    }
    news.add({ { deadly }, 1s, 3, true });
    cr_assert_eq(news.size(), QuarantineNews<News>::maxPending);
    bool isNews = false;
    const auto sent = news.take(2s, 32, isNews);
    cr_assert(isNews && sent.front().part == deadly);
}
