#pragma once

#include "Common/Clock.h"

#include <algorithm>

namespace Pollenwind {

/// Time up to which this VM knows the changes of the store, and the withdrawals of API keys among them.
///
/// The two differ after the store was restored from an older copy. The copy lacks what was confirmed after it was made,
/// and this VM may have missed a part of that. Until the copy is confirmed, by other VMs or by a later configuration of
/// the operator, keys are accepted on the basis of what was known before.
class KeyFreshness {
public:
    /// Every change of the present era up to a time has been received.
    void recordChangesUntil(MonotonicTime time) { m_changesUntil = std::max(m_changesUntil, time); }
    /// A copy of an earlier state was read, which the store had at a time.
    void recordCopy(MonotonicTime time)
    {
        if (m_isConfirmed) {
            m_confirmedUntil = m_changesUntil;
        }
        m_isConfirmed = false;
        // What an earlier era answered proves nothing about the present one.
        m_changesUntil = time;
    }
    /// This VM knows all withdrawals that the copy lacks.
    void confirmCopy() { m_isConfirmed = true; }

    bool isCopyConfirmed() const { return m_isConfirmed; }
    /// 0 before the first read.
    MonotonicTime changesUntil() const { return m_changesUntil; }
    MonotonicTime withdrawalsUntil() const { return m_isConfirmed ? m_changesUntil : m_confirmedUntil; }

private:
    MonotonicTime m_changesUntil { 0 };
    /// Time up to which the withdrawals were known when the copy was read.
    MonotonicTime m_confirmedUntil { 0 };
    bool m_isConfirmed = true;
};

} // namespace Pollenwind
