#include "Gateway/FleetReportCodec.h"
#include "Gateway/FleetView.h"
#include "Gateway/GatewayKeys.h"
#include "PlatformAdapter/PlatformFixture.h"

#include <boost/asio/ip/udp.hpp>

using namespace Pollenwind;

namespace {

constexpr PartId deadly = 3;

/// Another VM of the fleet, as far as the gateway sees it: a record in the store and reports.
class OtherVm {
public:
    OtherVm(PlatformFixture& fixture, const std::string& name)
        : m_name(name)
        , m_socket(fixture.context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_gateway(asio::ip::make_address(fixture.settings.listenReports.address), fixture.settings.listenReports.port)
    {
        const Endpoint reports { "127.0.0.1", m_socket.local_endpoint().port() };
        fixture.store.put(std::string(vmRecordPrefix) + name, FleetView::encodeRecord(reports, ZoneId("a")));
    }

    Task<> send(QuarantineReport quarantine = {})
    {
        FleetReport report { VmId(m_name), Incarnation(1), ++m_sequence };
        report.quarantine = std::move(quarantine);
        co_await m_socket.async_send_to(asio::buffer(FleetReportCodec::encode(report)), m_gateway, asTuple);
    }

    /// Receives reports of the gateway until one names quarantined parts.
    /// @return Number of reports received.
    Task<unsigned> receiveUntilParts()
    {
        std::string buf(16384, '\0');
        for (unsigned n = 1;; ++n) {
            const auto [ec, size] = co_await m_socket.async_receive(asio::buffer(buf), asTuple);
            cr_assert(!ec);
            const auto report = FleetReportCodec::decode(std::string_view(buf).substr(0, size));
            if (report && !report->quarantine.parts.empty()) {
                co_return n;
            }
        }
    }

    /// Drops the reports that have been received.
    void discard()
    {
        std::string buf(16384, '\0');
        boost::system::error_code ec;
        m_socket.non_blocking(true);
        while (!ec) {
            m_socket.receive(asio::buffer(buf), 0, ec);
        }
    }

private:
    std::string m_name;
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_gateway;
    std::uint64_t m_sequence = 0;
};

} // namespace

// Guards against a VM that starts just after the regular list of quarantined parts, and before their records are
// written, and sends requests with such a part to runners until the next list 5 s later.
Test(PlatformGateway, namesQuarantinedPartsToAVmThatStarts)
{
    PlatformFixture fixture;
    OtherVm other(fixture, "vm-a");
    OtherVm starting(fixture, "vm-b");
    fixture.run([&](Gateway&) -> Task<> {
        co_await other.send({ { { deadly, 1, 0ms }, { deadly, 2, 0ms }, { deadly, 3, 0ms } }, {}, {} });
        co_await other.receiveUntilParts();
        starting.discard();
        co_await starting.send();
        // One report may have been on its way.
        cr_assert_leq(co_await starting.receiveUntilParts(), 2);
    });
}
