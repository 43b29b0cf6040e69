#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Metrics/MetricTable.h"
#include "Peer/GrantExchange.h"
#include "Peer/PeerCodec.h"
#include "Peer/PeerNetwork.h"
#include "Timeline/Timeline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <functional>

using namespace Pollenwind;

namespace {

using asio::ip::tcp;

class SwitchableFaults final : public LinkFaults {
public:
    LinkFault faultBetween(const VmId&, const VmId&) const override { return fault; }
    std::chrono::milliseconds delay() const override { return std::chrono::milliseconds(50); }
    LinkFault fault = LinkFault::None;
};

class RecordingHandler final : public PeerHandler {
public:
    bool onLinkUp(const VmIdentity&) override { return ++ups > 0; }
    void onLinkDown(const VmIdentity&) override { ++downs; }
    PeerHeartbeat makeHeartbeat() override { return {}; }
    void receive(const VmIdentity& peer, const PeerMessage& message) override
    {
        if (onMessage) {
            onMessage(peer, message);
        }
    }
    int ups = 0;
    int downs = 0;
    std::function<void(const VmIdentity&, const PeerMessage&)> onMessage;
};

/// The peer network of one router, with a handler that records events.
struct Node {
    Node(asio::io_context& context, const std::string& name, PeerOptions options)
        : self { VmId(name), ZoneId("a"), Incarnation(randomBits()), clock.wallNow().count() / 1000,
            { "127.50.1.1", 0 }, { "127.50.1.1", 1 } }
        , network(context.get_executor(), { clock, metrics, timeline, faults, handler }, self, std::move(options))
    {
        self.peers = *network.listen(self.peers);
    }

    SystemClock clock;
    MetricTable metrics;
    Timeline timeline { clock, "test" };
    SwitchableFaults faults;
    RecordingHandler handler;
    VmIdentity self;
    PeerNetwork network;
};

PeerOptions testOptions(const std::string& secret = "0123456789abcdef")
{
    PeerOptions options;
    options.secret = secret;
    options.heartbeatInterval = std::chrono::milliseconds(50);
    options.silenceLimit = std::chrono::milliseconds(200);
    return options;
}

/// Runs until a condition holds; the time limit only ends a test that fails.
bool runUntil(asio::io_context& context, const std::function<bool()>& isDone)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!isDone() && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return isDone();
}

Task<> writeRaw(Endpoint target, std::string bytes, std::string& received)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({ asio::ip::make_address(target.address), target.port }, asTuple);
    co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
    // Reads until the other side closes.
    co_await asio::async_read(socket, asio::dynamic_buffer(received), asTuple);
    received += "closed";
}

} // namespace

// Guards against keeping two links when two VMs dial each other, and against a link that only one side has.
Test(PeerNetwork, keepsOneLinkWhenBothDial)
{
    asio::io_context context;
    Node a(context, "a", testOptions());
    Node b(context, "b", testOptions());
    a.network.setTargets({ b.self.peers });
    b.network.setTargets({ a.self.peers });
    const auto isSettled = [&] {
        const auto first = a.network.links();
        const auto second = b.network.links();
        return first.size() == 1 && second.size() == 1 && first[0].isDialed && !second[0].isDialed;
    };
    cr_assert(runUntil(context, isSettled));
    cr_assert(a.network.links()[0].version == peerProtocolVersion);
}

// Guards against linking to a peer that does not know the cluster secret.
Test(PeerNetwork, refusesWrongSecret)
{
    asio::io_context context;
    Node a(context, "a", testOptions());
    Node b(context, "b", testOptions("another secret of the same kind"));
    b.network.setTargets({ a.self.peers });
    a.network.setTargets({ b.self.peers });
    cr_assert(runUntil(context, [&] {
        return b.metrics.total(Counter::PeerAuthFailures) > 1 && a.metrics.total(Counter::PeerAuthFailures) > 1;
    }));
    cr_assert_eq(a.handler.ups + b.handler.ups, 0);
}

// Guards against accepting a Hello that was recorded on another connection.
Test(PeerNetwork, refusesReplayedHello)
{
    asio::io_context context;
    Node a(context, "a", testOptions());
    PeerHello hello;
    hello.identity = { VmId("b"), ZoneId("a"), Incarnation(3), 4, { "127.50.1.2", 9 }, { "127.50.1.2", 10 } };
    hello.nonce = std::string(32, 'n');
    auto proved = hello;
    // The proof is valid for another nonce than the one that the acceptor chooses for this connection.
    proved.proof = makeProof("0123456789abcdef", LinkSide::Dialer, hello, randomToken());
    std::string received;
    asio::co_spawn(context,
        writeRaw(a.self.peers, PeerCodec::encodeFrame(hello) + PeerCodec::encodeFrame(proved), received),
        asio::detached);
    cr_assert(runUntil(context, [&] { return received.ends_with("closed"); }));
    cr_assert_eq(a.metrics.total(Counter::PeerAuthFailures), 1);
    cr_assert_eq(a.handler.ups, 0);
}

// Guards against an invalid frame that is not counted or does not close the connection.
Test(PeerNetwork, closesOnBadFrame)
{
    asio::io_context context;
    Node a(context, "a", testOptions());
    std::string received;
    asio::co_spawn(context, writeRaw(a.self.peers, std::string("\0\0\0\4oops", 8), received), asio::detached);
    cr_assert(runUntil(context, [&] { return received == "closed"; }));
    cr_assert_eq(a.metrics.total(Counter::PeerBadFrames), 1);
}

// Guards against an upgrade in which consecutive releases cannot link, and against linking without a common version.
Test(PeerNetwork, linksToPreviousVersionOnly)
{
    asio::io_context context;
    auto older = testOptions();
    older.maxVersion = oldestPeerProtocolVersion;
    auto newest = testOptions();
    newest.minVersion = peerProtocolVersion + 1;
    newest.maxVersion = peerProtocolVersion + 1;
    Node a(context, "a", testOptions());
    Node b(context, "b", older);
    Node c(context, "c", newest);
    a.network.setTargets({ b.self.peers, c.self.peers });
    cr_assert(runUntil(context, [&] { return a.network.isLinked(VmId("b")); }));
    cr_assert_eq(a.network.links()[0].version, oldestPeerProtocolVersion);
    cr_assert(runUntil(context, [&] { return c.metrics.total(Counter::PeerBytesReceived) > 1000; }));
    cr_assert_not(a.network.isLinked(VmId("c")));
}

// Guards against keeping a link on which no frames arrive any more, or that fault injection cuts: both sides must close
// it, and link again when the fault ends.
Test(PeerNetwork, closesSilentAndCutLinks)
{
    for (const auto fault : { LinkFault::Silent, LinkFault::Cut }) {
        asio::io_context context;
        Node a(context, "a", testOptions());
        Node b(context, "b", testOptions());
        a.network.setTargets({ b.self.peers });
        cr_assert(runUntil(context, [&] { return a.network.isLinked(VmId("b")) && b.network.isLinked(VmId("a")); }));
        a.faults.fault = fault;
        b.faults.fault = fault;
        cr_assert(runUntil(context, [&] { return a.handler.downs > 0 && b.handler.downs > 0; }));
        a.faults.fault = LinkFault::None;
        b.faults.fault = LinkFault::None;
        cr_assert(runUntil(context, [&] { return a.network.isLinked(VmId("b")); }));
    }
}

namespace {

/// Membership with a single VM.
class SingleMemberQueries final : public MembershipQueries {
public:
    explicit SingleMemberQueries(VmIdentity identity)
        : m_member { std::move(identity), MemberState::Live }
    {
    }
    std::vector<Member> members() const override { return { m_member }; }
    std::optional<Member> find(const VmId&) const override { return m_member; }

private:
    Member m_member;
};

class FixedLender final : public GrantLender {
public:
    GrantReply lend(const VmId&, const GrantRequest& request) override { return { GrantId(5), request.tokens, 1 }; }
    void settle(const VmId&, const GrantSettlement&) override { }
};

} // namespace

// Guards against accepting a grant from a reply that arrives after the timeout, when the grant may have expired.
Test(GrantExchange, opensLinkAndIgnoresLateReplies)
{
    asio::io_context context;
    Node a(context, "a", testOptions());
    Node b(context, "b", testOptions());
    SingleMemberQueries lenderMember(b.self);
    SingleMemberQueries borrowerMember(a.self);
    GrantExchange borrower(context.get_executor(), a.clock, a.network, lenderMember);
    GrantExchange lender(context.get_executor(), b.clock, b.network, borrowerMember);
    FixedLender fixed;
    std::vector<std::pair<VmId, PeerGrantRequest>> deferred;
    bool isDeferring = false;
    b.handler.onMessage = [&](const VmIdentity& peer, const PeerMessage& message) {
        if (const auto* request = std::get_if<PeerGrantRequest>(&message)) {
            isDeferring ? deferred.emplace_back(peer.vm, *request) : deferred.emplace_back();
            isDeferring ? void() : lender.receiveRequest(fixed, peer.vm, *request);
        }
    };
    int replies = 0;
    a.handler.onMessage = [&](const VmIdentity& peer, const PeerMessage& message) {
        if (const auto* reply = std::get_if<PeerGrantReply>(&message)) {
            ++replies;
            borrower.receiveReply(peer.vm, *reply);
        }
    };
    std::vector<Outcome<GrantReply>> results;
    const auto ask
        = [&]() -> Task<> { results.push_back(co_await borrower.requestGrant(VmId("b"), { OrganisationId("o"), 7 })); };
    asio::co_spawn(context, ask(), asio::detached);
    cr_assert(runUntil(context, [&] { return results.size() == 1; }));
    cr_assert(results[0] && results[0]->tokens == 7);
    isDeferring = true;
    deferred.clear();
    asio::co_spawn(context, ask(), asio::detached);
    cr_assert(runUntil(context, [&] { return results.size() == 2; }));
    cr_assert(!results[1] && results[1].error().code == ErrorCode::DeadlineExceeded);
    lender.receiveRequest(fixed, deferred[0].first, deferred[0].second);
    cr_assert(runUntil(context, [&] { return replies == 2; }));
    cr_assert_eq(results.size(), 2);
}
