#pragma once

#include <cstddef>

#if __has_feature(address_sanitizer)
#include <sanitizer/allocator_interface.h>
#else
#include <malloc.h>
#endif

namespace Pollenwind {

/// Bytes that this process has allocated and not freed.
inline std::size_t allocatedBytes()
{
#if __has_feature(address_sanitizer)
    return __sanitizer_get_current_allocated_bytes();
#else
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
#endif
}

} // namespace Pollenwind
