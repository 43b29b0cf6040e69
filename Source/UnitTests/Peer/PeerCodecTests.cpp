#include "Peer/PeerAuthentication.h"
#include "Peer/PeerCodec.h"
#include "Peer/PeerMessages_generated.h"

#include <criterion/criterion.h>

#include <random>

using namespace Pollenwind;

namespace {

std::vector<PeerMessage> samples()
{
    PeerHello hello;
    hello.identity
        = { VmId("vm-1"), ZoneId("eu/a"), Incarnation(7), 9, { "127.50.0.1", 7000 }, { "127.50.0.1", 7001 } };
    hello.nonce = std::string(32, 'n');
    PeerHeartbeat heartbeat;
    heartbeat.zoneAges = { std::chrono::milliseconds(3), zoneNotInContact };
    KeyNotice notice { 4, { { sha256("k"), OrganisationId("o"), KeyState::Withdrawn } }, 5, true };
    MembershipUpdate update;
    update.members.push_back({ hello.identity, MemberState::Leaving });
    return { hello, heartbeat, ConfigurationRequest { Revision(3) }, ConfigurationReply { Revision(4), "{}" }, notice,
        KeyAck { 4 }, KeyTableRequest {}, update, PeerGrantRequest { 1, { OrganisationId("o"), 5 } },
        PeerGrantReply { 1, { GrantId(2), 3, 4 } }, PeerGrantSettle { { GrantId(2), 1 } } };
}

bool decodes(const std::string& frame)
{
    return PeerCodec::decodeFrame({ reinterpret_cast<const std::uint8_t*>(frame.data()), frame.size() });
}

Outcome<PeerMessage> decode(const std::string& frame)
{
    const std::vector<std::uint8_t> body(frame.begin() + PeerCodec::headerBytes, frame.end());
    return PeerCodec::decodeBody(body);
}

} // namespace

// Guards against a field that is lost or exchanged on the way, which would confirm keys or revive withdrawn ones.
Test(PeerCodec, returnsWhatWasEncoded)
{
    for (const auto& sample : samples()) {
        const auto decoded = decode(PeerCodec::encodeFrame(sample));
        cr_assert(decoded.has_value());
        cr_assert_eq(decoded->index(), sample.index());
        cr_assert(PeerCodec::encodeFrame(*decoded) == PeerCodec::encodeFrame(sample));
    }
    const auto notice = std::get<KeyNotice>(*decode(PeerCodec::encodeFrame(samples()[4])));
    cr_assert(notice.keys.front().state == KeyState::Withdrawn);
    cr_assert(notice.keys.front().digest == sha256("k"));
}

// Guards against reading beyond a frame whose sender died in the middle, and against accepting one.
Test(PeerCodec, refusesTruncatedFrames)
{
    for (const auto& sample : samples()) {
        const auto frame = PeerCodec::encodeFrame(sample);
        cr_assert(decodes(frame));
        for (std::size_t n = 0; n < frame.size(); ++n) {
            cr_assert_not(decodes(frame.substr(0, n)));
        }
    }
}

// Guards against reading outside the frame when bytes are damaged; the sanitizers make such a read fail the test.
Test(PeerCodec, survivesDamagedFrames)
{
    std::mt19937 random(20261204);
    const auto all = samples();
    for (int round = 0; round < 4000; ++round) {
        auto frame = PeerCodec::encodeFrame(all[random() % all.size()]);
        for (int i = 0; i < 3; ++i) {
            frame[PeerCodec::headerBytes + random() % (frame.size() - PeerCodec::headerBytes)]
                = static_cast<char>(random());
        }
        decodes(frame);
    }
}

// Guards against a length that makes the receiver reserve memory without bound.
Test(PeerCodec, refusesLengthsOutsideTheLimit)
{
    const std::uint8_t empty[] = { 0, 0, 0, 0 };
    const std::uint8_t largest[] = { 0, 0x40, 0, 0 };
    const std::uint8_t tooLarge[] = { 0, 0x40, 0, 1 };
    cr_assert_not(PeerCodec::decodeLength(empty));
    cr_assert(PeerCodec::decodeLength(largest) == PeerCodec::maxFrameBytes);
    cr_assert_not(PeerCodec::decodeLength(tooLarge));
}

// Guards against a release that cannot talk to the next one during an upgrade.
Test(PeerCodec, readsUnknownKindsAsSuch)
{
    flatbuffers::FlatBufferBuilder fbb;
    const auto body = wire::CreateKeyAck(fbb, 1).Union();
    fbb.Finish(wire::CreateFrame(fbb, static_cast<wire::Body>(99), body));
    const auto decoded = PeerCodec::decodeBody({ fbb.GetBufferPointer(), fbb.GetSize() });
    cr_assert(decoded && std::holds_alternative<UnknownMessage>(*decoded));
}

// Guards against accepting a proof that was made for another connection, by the other side, or for another identity.
Test(PeerAuthentication, bindsProofToNonceSideAndIdentity)
{
    auto hello = std::get<PeerHello>(samples()[0]);
    const std::string nonce(32, 'x');
    hello.proof = makeProof("secret", LinkSide::Dialer, hello, nonce);
    cr_assert(isProofValid("secret", LinkSide::Dialer, hello, nonce));
    cr_assert_not(isProofValid("other", LinkSide::Dialer, hello, nonce));
    cr_assert_not(isProofValid("secret", LinkSide::Acceptor, hello, nonce));
    cr_assert_not(isProofValid("secret", LinkSide::Dialer, hello, std::string(32, 'y')));
    hello.identity.vm = VmId("vm-2");
    cr_assert_not(isProofValid("secret", LinkSide::Dialer, hello, nonce));
}
