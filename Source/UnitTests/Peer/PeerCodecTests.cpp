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

// Guards against losing or swapping a field, which could confirm an outdated key table or make withdrawn keys valid.
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

// Guards against reading beyond the end of a truncated frame, and against accepting one.
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

// Guards against reading outside a corrupted frame; in a sanitizer build such a read fails the test.
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

// Guards against a length that makes the receiver allocate unlimited memory.
Test(PeerCodec, refusesLengthsOutsideTheLimit)
{
    const std::uint8_t empty[] = { 0, 0, 0, 0 };
    const std::uint8_t largest[] = { 0, 0x40, 0, 0 };
    const std::uint8_t tooLarge[] = { 0, 0x40, 0, 1 };
    cr_assert_not(PeerCodec::decodeLength(empty));
    cr_assert(PeerCodec::decodeLength(largest) == PeerCodec::maxFrameBytes);
    cr_assert_not(PeerCodec::decodeLength(tooLarge));
}

// Guards against rejecting messages of the next release during an upgrade.
Test(PeerCodec, readsUnknownKindsAsSuch)
{
    flatbuffers::FlatBufferBuilder fbb;
    const auto body = wire::CreateKeyAck(fbb, 1).Union();
    fbb.Finish(wire::CreateFrame(fbb, static_cast<wire::Body>(99), body));
    const auto decoded = PeerCodec::decodeBody({ fbb.GetBufferPointer(), fbb.GetSize() });
    cr_assert(decoded && std::holds_alternative<UnknownMessage>(*decoded));
}

// Guards against accepting a proof made with another secret, for another connection, side or identity.
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
