#include "Gateway/FeedCodec.h"

#include "Gateway/FeedMessages_generated.h"

namespace Pollenwind::FeedCodec {

namespace {

    flatbuffers::Offset<wire::FeedEntry> encodeEntry(
        flatbuffers::FlatBufferBuilder& builder, const StoreEntry& entry, bool isErased)
    {
        const auto key = builder.CreateString(entry.key);
        const auto value
            = builder.CreateVector(reinterpret_cast<const std::uint8_t*>(entry.value.data()), entry.value.size());
        return wire::CreateFeedEntry(builder, key, value, entry.modRevision, entry.lease.value(), isErased);
    }

    std::string finish(flatbuffers::FlatBufferBuilder& builder, const FeedChanges& reply,
        const std::vector<flatbuffers::Offset<wire::FeedEntry>>& entries)
    {
        // Rounded up, so that the records never appear younger than they are.
        const auto age = std::chrono::ceil<std::chrono::microseconds>(reply.age);
        const auto waited = std::chrono::floor<std::chrono::microseconds>(reply.waited);
        builder.Finish(wire::CreateFeedReply(
            builder, reply.changes.revision, age.count(), builder.CreateVector(entries), waited.count()));
        return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
    }

} // namespace

std::string encode(const FeedChanges& changes)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::FeedEntry>> entries;
    for (const auto& event : changes.changes.events) {
        entries.push_back(encodeEntry(builder, event.entry, event.isErased));
    }
    return finish(builder, changes, entries);
}

std::string encode(const FeedRecords& records)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::FeedEntry>> entries;
    for (const auto& entry : records.range.entries) {
        entries.push_back(encodeEntry(builder, entry, false));
    }
    return finish(builder, { { {}, records.range.revision }, {}, records.age }, entries);
}

std::optional<FeedChanges> decode(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::VerifyFeedReplyBuffer(verifier)) {
        return std::nullopt;
    }
    const auto* message = wire::GetFeedReply(data);
    if (message->revision() <= 0 || message->age_us() < 0 || message->waited_us() < 0 || !message->entries()) {
        return std::nullopt;
    }
    FeedChanges changes;
    changes.age = std::chrono::microseconds(message->age_us());
    changes.waited = std::chrono::microseconds(message->waited_us());
    changes.changes.revision = message->revision();
    for (const auto* it : *message->entries()) {
        if (!it->key()) {
            return std::nullopt;
        }
        StoreEvent event;
        event.isErased = it->erased();
        event.entry.key = it->key()->str();
        if (it->value()) {
            event.entry.value.assign(reinterpret_cast<const char*>(it->value()->data()), it->value()->size());
        }
        event.entry.modRevision = it->revision();
        event.entry.lease = LeaseId(it->lease());
        changes.changes.events.push_back(std::move(event));
    }
    return changes;
}

FeedRecords toRecords(FeedChanges changes)
{
    FeedRecords records;
    records.age = changes.age;
    records.range.revision = changes.changes.revision;
    for (auto& event : changes.changes.events) {
        records.range.entries.push_back(std::move(event.entry));
    }
    return records;
}

} // namespace Pollenwind::FeedCodec
