#include "Common/ShortText.h"

#include <criterion/criterion.h>

#include <string>

using namespace Pollenwind;

// The comparison reads words instead of bytes, so that a byte that none of them covers would make ids equal.
Test(ShortText, findsADifferenceInEachByte)
{
    for (std::size_t size = 0; size <= 40; ++size) {
        std::string text;
        for (std::size_t n = 0; n < size; ++n) {
            text.push_back(static_cast<char>('a' + n % 7));
        }
        cr_assert(isEqualText(text, std::string(text)), "%zu bytes", size);
        cr_assert_not(isEqualText(text, text + "a"), "%zu bytes", size);
        for (std::size_t n = 0; n < size; ++n) {
            auto other = text;
            other[n] = 'x';
            cr_assert_not(isEqualText(text, other), "byte %zu of %zu", n, size);
        }
    }
}
