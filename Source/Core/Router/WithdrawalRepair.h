#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Keys/Queries/KeyQueries.h"
#include "Store/Commands/StoreCommands.h"
#include "Store/Queries/StoreQueries.h"

#include <set>

namespace Pollenwind {

/// Writes key withdrawals that were accepted during a store outage to the store once it is available again. Every
/// router does this for the withdrawals it knows; a random delay lets only one of them write in most cases.
class WithdrawalRepair {
public:
    WithdrawalRepair(StoreCommands& storeCommands, StoreQueries& storeQueries, const KeyQueries& keys);

    /// Adds a withdrawal that did not come from the store.
    void addUnstored(const Digest& digest) { m_unstored.insert(digest); }
    /// Compares a record of the store with the key table: a stored withdrawal needs no repair, a key that is still
    /// valid in the store but withdrawn here does.
    void onStoreRecord(const KeyRecord& record);

    /// Writes missing withdrawals until the process ends.
    Task<> run();

private:
    Task<Outcome<void>> repair(Digest digest);

    StoreCommands& m_storeCommands;
    StoreQueries& m_storeQueries;
    const KeyQueries& m_keys;
    std::set<Digest> m_unstored;
};

} // namespace Pollenwind
