#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Keys/Queries/KeyQueries.h"
#include "Store/Commands/StoreCommands.h"
#include "Store/Queries/StoreQueries.h"

#include <set>

namespace Pollenwind {

/// Writes withdrawals that were accepted while the store was down to the store, when it is back. Every router does
/// this for the withdrawals it knows; a random delay lets mostly one of them write.
class WithdrawalRepair {
public:
    WithdrawalRepair(StoreCommands& storeCommands, StoreQueries& storeQueries, const KeyQueries& keys);

    /// Notes a withdrawal that did not come from the store.
    void addUnstored(const Digest& digest) { m_unstored.insert(digest); }
    /// Notes what the store holds.
    void onStoreRecord(const KeyRecord& record);

    /// Repairs until the process ends.
    Task<> run();

private:
    Task<Outcome<void>> repair(Digest digest);

    StoreCommands& m_storeCommands;
    StoreQueries& m_storeQueries;
    const KeyQueries& m_keys;
    std::set<Digest> m_unstored;
};

} // namespace Pollenwind
