#pragma once

#include "Common/EnumTable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Pollenwind {

/// What bytes of other processes are held for.
enum class MemoryUse {
    /// Request of a client: its unparsed bytes, head and body, until its handling ends.
    Request,
    /// Bytes of a response that cannot be parsed yet.
    UnparsedResponse,
    /// Response of a runner that is collected for a caller.
    RunnerResponse,
    /// Events of a runner's stream that the caller has not taken.
    RunnerStream,
    /// Report of a runner, or its response to an order.
    RunnerReport,
    StoreResponse,
    /// Records that another VM passes on.
    PeerFeed,
    /// Response that a program of the operator reads.
    OperatorResponse,
};

template <> struct EnumTable<MemoryUse> {
    static constexpr std::array rows {
        EnumName { MemoryUse::Request, "request" },
        EnumName { MemoryUse::UnparsedResponse, "unparsed-response" },
        EnumName { MemoryUse::RunnerResponse, "runner-response" },
        EnumName { MemoryUse::RunnerStream, "runner-stream" },
        EnumName { MemoryUse::RunnerReport, "runner-report" },
        EnumName { MemoryUse::StoreResponse, "store-response" },
        EnumName { MemoryUse::PeerFeed, "peer-feed" },
        EnumName { MemoryUse::OperatorResponse, "operator-response" },
    };
};

/// Bytes of other processes that this process may hold together. Each holder has a share.
///
/// A share may grow only while it stays at most as large as the rest that is still free. So the largest holders are
/// refused first, however many there are, and small ones get in beside them. The sum never exceeds the total. A quarter
/// is kept for what the store and the other VMs send, without which this VM could not go on serving: their responses
/// are large and would be refused first. Not thread-safe: a process has one thread.
class MemoryBudget {
public:
    /// Total of a process whose settings name no memory limit.
    static constexpr std::size_t defaultTotal = 24UL * 1024 * 1024;

    explicit MemoryBudget(std::size_t total = defaultTotal)
        : m_total(total)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    /// The bytes of one holder. They are returned to the budget when the share is destroyed.
    class Share {
    public:
        /// @param budget Must outlive the share.
        Share(MemoryBudget& budget, MemoryUse use)
            : m_budget(&budget)
            , m_use(use)
        {
        }
        ~Share() { release(); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;
        Share(Share&& other) noexcept;
        Share& operator=(Share&& other) noexcept;

        /// Sets the number of bytes.
        /// @return False, without a change, if the share would grow beyond what is free. A refusal is counted.
        bool resize(std::size_t bytes);

        std::size_t bytes() const { return m_bytes; }

    private:
        void release();

        MemoryBudget* m_budget;
        MemoryUse m_use;
        std::size_t m_bytes = 0;
    };

    /// Sets the total. Present shares keep their bytes.
    void setTotal(std::size_t total) { m_total = total; }
    std::size_t total() const { return m_total; }

    /// Bytes of all shares.
    std::size_t heldBytes() const { return m_held; }

    /// Number of refusals since the start of the process.
    std::uint64_t refusals(MemoryUse use) const { return m_refusals[static_cast<std::size_t>(use)]; }

private:
    std::size_t m_total;
    std::size_t m_held = 0;
    std::array<std::uint64_t, EnumTable<MemoryUse>::rows.size()> m_refusals {};
};

/// The budget of this process. It belongs to the process since its limit of memory does: no connection is without it.
MemoryBudget& processMemory();

/// Capacity that a string or buffer has after it has grown to a size.
std::size_t grownCapacity(std::size_t capacity, std::size_t size);

/// Appends bytes to a string whose capacity a share counts.
/// @param share Counts this string alone.
/// @return False, without a change, if the share may not grow.
bool appendWithin(std::string& text, std::string_view bytes, MemoryBudget::Share& share);

} // namespace Pollenwind
