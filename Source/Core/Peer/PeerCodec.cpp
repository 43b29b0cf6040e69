#include "Peer/PeerCodec.h"

#include "Peer/PeerMessages_generated.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>

namespace Pollenwind::PeerCodec {

namespace {

    using Builder = flatbuffers::FlatBufferBuilder;

    // Tables nest at most three levels deep (frame, list, record). The verifier rejects deeper ones early.
    constexpr flatbuffers::uoffset_t maxDepth = 8;
    constexpr flatbuffers::uoffset_t maxTables = 200'000;

    std::string textOf(const flatbuffers::String* text) { return text ? text->str() : std::string(); }

    std::string bytesOf(const flatbuffers::Vector<std::uint8_t>* bytes)
    {
        return bytes ? std::string(bytes->begin(), bytes->end()) : std::string();
    }

    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> packBytes(Builder& fbb, const std::string& bytes)
    {
        return fbb.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    }

    std::uint32_t packAge(std::chrono::milliseconds age)
    {
        constexpr std::int64_t limit = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, limit));
    }

    flatbuffers::Offset<wire::VmRecord> packVm(Builder& fbb, const VmIdentity& it, MemberState state)
    {
        return wire::CreateVmRecord(fbb, fbb.CreateString(it.vm.value()), fbb.CreateSharedString(it.zone.value()),
            it.incarnation.value(), it.startedAtMicroseconds, fbb.CreateString(it.peers.toString()),
            fbb.CreateString(it.admin.toString()), static_cast<std::uint8_t>(state));
    }

    VmIdentity unpackVm(const wire::VmRecord* vm)
    {
        if (!vm) {
            return {};
        }
        return { VmId(textOf(vm->vm())), ZoneId(textOf(vm->zone())), Incarnation(vm->incarnation()),
            vm->started_at_us(), parseEndpoint(textOf(vm->peers())).value_or(Endpoint()),
            parseEndpoint(textOf(vm->admin())).value_or(Endpoint()) };
    }

    /// Builds the FlatBuffers table of each kind of message.
    struct Packer {
        Builder& fbb;

        template <typename Table>
        flatbuffers::Offset<wire::Frame> frame(wire::Body kind, flatbuffers::Offset<Table> body)
        {
            return wire::CreateFrame(fbb, kind, body.Union());
        }

        flatbuffers::Offset<wire::Frame> operator()(const UnknownMessage&) { return wire::CreateFrame(fbb); }

        flatbuffers::Offset<wire::Frame> operator()(const PeerHello& it)
        {
            const auto vm = packVm(fbb, it.identity, MemberState::Live);
            const auto nonce = packBytes(fbb, it.nonce);
            const auto proof = packBytes(fbb, it.proof);
            return frame(wire::Body::Hello, wire::CreateHello(fbb, it.minVersion, it.maxVersion, vm, nonce, proof));
        }

        flatbuffers::Offset<wire::Frame> operator()(const PeerHeartbeat& it)
        {
            std::vector<std::uint16_t> ages;
            ages.reserve(it.zoneAges.size());
            for (const auto age : it.zoneAges) {
                ages.push_back(
                    static_cast<std::uint16_t>(std::clamp<std::int64_t>(age.count(), 0, zoneNotInContact.count())));
            }
            const auto list = fbb.CreateVector(ages);
            return frame(wire::Body::Heartbeat,
                wire::CreateHeartbeat(fbb, it.incarnation.value(), it.revision.value(), it.keyDigest,
                    packAge(it.keyAge), list, it.isLeaving, it.time.wallMicroseconds, it.time.counter, it.sentAt,
                    it.echo));
        }

        flatbuffers::Offset<wire::Frame> operator()(const ConfigurationRequest& it)
        {
            return frame(wire::Body::ConfigurationRequest, wire::CreateConfigurationRequest(fbb, it.above.value()));
        }

        flatbuffers::Offset<wire::Frame> operator()(const ConfigurationReply& it)
        {
            const auto document = fbb.CreateString(it.document);
            return frame(
                wire::Body::ConfigurationReply, wire::CreateConfigurationReply(fbb, it.revision.value(), document));
        }

        flatbuffers::Offset<wire::Frame> operator()(const KeyNotice& it)
        {
            std::vector<flatbuffers::Offset<wire::KeyEntry>> keys;
            keys.reserve(it.keys.size());
            for (const auto& key : it.keys) {
                const auto digest = fbb.CreateVector(key.digest.data(), key.digest.size());
                const auto organisation = fbb.CreateSharedString(key.organisation.value());
                keys.push_back(wire::CreateKeyEntry(fbb, digest, organisation, static_cast<std::uint8_t>(key.state)));
            }
            const auto list = fbb.CreateVector(keys);
            return frame(wire::Body::KeyNotice,
                wire::CreateKeyNotice(fbb, it.notice, list, it.coveredDigest, it.isTableComplete));
        }

        flatbuffers::Offset<wire::Frame> operator()(const KeyAck& it)
        {
            return frame(wire::Body::KeyAck, wire::CreateKeyAck(fbb, it.notice));
        }

        flatbuffers::Offset<wire::Frame> operator()(const KeyTableRequest&)
        {
            return frame(wire::Body::KeyTableRequest, wire::CreateKeyTableRequest(fbb));
        }

        flatbuffers::Offset<wire::Frame> operator()(const MembershipUpdate& it)
        {
            std::vector<flatbuffers::Offset<wire::VmRecord>> vms;
            vms.reserve(it.members.size());
            for (const auto& member : it.members) {
                vms.push_back(packVm(fbb, member.identity, member.state));
            }
            const auto list = fbb.CreateVector(vms);
            return frame(wire::Body::MembershipUpdate, wire::CreateMembershipUpdate(fbb, list));
        }

        flatbuffers::Offset<wire::Frame> operator()(const PeerGrantRequest& it)
        {
            const auto organisation = fbb.CreateString(it.wanted.organisation.value());
            return frame(
                wire::Body::GrantRequest, wire::CreateGrantRequest(fbb, it.request, organisation, it.wanted.tokens));
        }

        flatbuffers::Offset<wire::Frame> operator()(const PeerGrantReply& it)
        {
            return frame(wire::Body::GrantReply,
                wire::CreateGrantReply(fbb, it.request, it.reply.id.value(), it.reply.tokens, it.reply.lenderLevel));
        }

        flatbuffers::Offset<wire::Frame> operator()(const PeerGrantSettle& it)
        {
            return frame(
                wire::Body::GrantSettle, wire::CreateGrantSettle(fbb, it.settlement.id.value(), it.settlement.spent));
        }
    };

    /// Reads the tokens of a grant message. Anything but a positive number would corrupt the lender's sums and reads as
    /// 0.
    double unpackTokens(double tokens) { return std::isfinite(tokens) && tokens > 0 ? tokens : 0; }

    PeerMessage unpackHello(const wire::Hello& it)
    {
        return PeerHello { it.min_version(), it.max_version(), unpackVm(it.vm()), bytesOf(it.nonce()),
            bytesOf(it.proof()) };
    }

    PeerMessage unpackHeartbeat(const wire::Heartbeat& it)
    {
        PeerHeartbeat heartbeat;
        heartbeat.incarnation = Incarnation(it.incarnation());
        heartbeat.revision = Revision(it.revision());
        heartbeat.keyDigest = it.key_digest();
        heartbeat.keyAge = std::chrono::milliseconds(it.key_age_ms());
        heartbeat.isLeaving = it.leaving();
        heartbeat.time = { it.wall_us(), it.counter() };
        heartbeat.sentAt = it.sent_at_ns();
        heartbeat.echo = it.echo_ns();
        if (it.zone_ages_ms()) {
            for (const auto age : *it.zone_ages_ms()) {
                heartbeat.zoneAges.emplace_back(age);
            }
        }
        return heartbeat;
    }

    std::optional<PeerMessage> unpackKeyNotice(const wire::KeyNotice& it)
    {
        KeyNotice notice { it.notice(), {}, it.covered_digest(), it.is_whole() };
        if (it.keys()) {
            for (const auto* key : *it.keys()) {
                KeyRecord record;
                // A state of a later release is treated as withdrawn, which is the safe choice.
                record.state = key->state() == 0 ? KeyState::Valid : KeyState::Withdrawn;
                record.organisation = OrganisationId(textOf(key->organisation()));
                if (!key->digest() || key->digest()->size() != record.digest.size()) {
                    return std::nullopt;
                }
                std::ranges::copy(*key->digest(), record.digest.begin());
                notice.keys.push_back(std::move(record));
            }
        }
        return notice;
    }

    PeerMessage unpackMembership(const wire::MembershipUpdate& it)
    {
        MembershipUpdate update;
        if (it.vms()) {
            for (const auto* vm : *it.vms()) {
                Member member;
                member.identity = unpackVm(vm);
                member.state = vm->state() < EnumTable<MemberState>::rows.size() ? static_cast<MemberState>(vm->state())
                                                                                 : MemberState::Joining;
                update.members.push_back(std::move(member));
            }
        }
        return update;
    }

    PeerMessage unpackGrantRequest(const wire::GrantRequest& it)
    {
        return PeerGrantRequest { it.request(),
            { OrganisationId(textOf(it.organisation())), unpackTokens(it.tokens()) } };
    }

    std::optional<PeerMessage> unpack(const wire::Frame& frame)
    {
        switch (frame.body_type()) {
        case wire::Body::Hello:
            return unpackHello(*frame.body_as_Hello());
        case wire::Body::Heartbeat:
            return unpackHeartbeat(*frame.body_as_Heartbeat());
        case wire::Body::ConfigurationRequest:
            return ConfigurationRequest { Revision(frame.body_as_ConfigurationRequest()->above()) };
        case wire::Body::ConfigurationReply: {
            const auto* reply = frame.body_as_ConfigurationReply();
            return ConfigurationReply { Revision(reply->revision()), textOf(reply->document()) };
        }
        case wire::Body::KeyNotice:
            return unpackKeyNotice(*frame.body_as_KeyNotice());
        case wire::Body::KeyAck:
            return KeyAck { frame.body_as_KeyAck()->notice() };
        case wire::Body::KeyTableRequest:
            return KeyTableRequest {};
        case wire::Body::MembershipUpdate:
            return unpackMembership(*frame.body_as_MembershipUpdate());
        case wire::Body::GrantRequest:
            return unpackGrantRequest(*frame.body_as_GrantRequest());
        case wire::Body::GrantReply: {
            const auto* it = frame.body_as_GrantReply();
            return PeerGrantReply { it->request(),
                { GrantId(it->grant()), unpackTokens(it->tokens()), unpackTokens(it->lender_level()) } };
        }
        case wire::Body::GrantSettle: {
            const auto* it = frame.body_as_GrantSettle();
            return PeerGrantSettle { { GrantId(it->grant()), unpackTokens(it->spent()) } };
        }
        default:
            return UnknownMessage {};
        }
    }

} // namespace

std::string encodeFrame(const PeerMessage& message)
{
    Builder fbb(256);
    fbb.Finish(std::visit(Packer { fbb }, message));
    const auto size = fbb.GetSize();
    std::string frame(headerBytes + size, '\0');
    for (std::size_t i = 0; i < headerBytes; ++i) {
        frame[i] = static_cast<char>(size >> (8 * (headerBytes - 1 - i)) & 0xFFU);
    }
    std::memcpy(frame.data() + headerBytes, fbb.GetBufferPointer(), size);
    return frame;
}

std::optional<std::size_t> decodeLength(std::span<const std::uint8_t> header)
{
    std::size_t size = 0;
    for (const auto byte : header.first(headerBytes)) {
        size = size << 8U | byte;
    }
    return size == 0 || size > maxFrameBytes ? std::nullopt : std::optional(size);
}

Outcome<PeerMessage> decodeBody(std::span<const std::uint8_t> body)
{
    // The body must be aligned to 8 bytes, as heap memory is.
    flatbuffers::Verifier verifier(body.data(), body.size(), maxDepth, maxTables);
    if (!wire::VerifyFrameBuffer(verifier)) {
        return fail(ErrorCode::Malformed, "invalid peer frame");
    }
    const auto& frame = *wire::GetFrame(body.data());
    // The verifier accepts a body type without its table.
    if (frame.body_type() == wire::Body::NONE || !frame.body()) {
        return UnknownMessage {};
    }
    auto message = unpack(frame);
    if (!message) {
        return fail(ErrorCode::Malformed, "a peer frame has an invalid key record");
    }
    return std::move(*message);
}

bool decodeFrame(std::span<const std::uint8_t> frame)
{
    if (frame.size() < headerBytes) {
        return false;
    }
    const auto size = decodeLength(frame);
    if (!size || *size != frame.size() - headerBytes) {
        return false;
    }
    // The copy is aligned, as FlatBuffers requires to read numbers.
    const std::vector<std::uint8_t> body(frame.begin() + headerBytes, frame.end());
    return decodeBody(body).has_value();
}

} // namespace Pollenwind::PeerCodec
