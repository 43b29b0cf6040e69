#include "Common/Digest.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

// Guards against digests that differ from standard SHA-256: keys registered with other tools would not be recognised.
Test(Digest, matchesPublishedVector)
{
    const auto hex = toHex(sha256("abc"));
    cr_assert(hex == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against accepting a digest text of the wrong length or with other characters.
Test(Digest, rejectsMalformedHex)
{
    cr_assert(!digestFromHex(""));
    cr_assert(!digestFromHex(std::string(63, 'a')));
    cr_assert(!digestFromHex(std::string(64, 'g')));
    const auto digest = sha256("x");
    cr_assert(digestFromHex(toHex(digest)) == digest);
}

// Guards against losing or adding bytes because of the padding.
Test(Base64, returnsWhatWasEncoded)
{
    for (std::size_t n = 0; n < 40; ++n) {
        std::string bytes;
        for (std::size_t i = 0; i < n; ++i) {
            bytes += static_cast<char>(i * 37);
        }
        cr_assert(base64Decode(base64Encode(bytes)) == bytes);
    }
    cr_assert(!base64Decode("a"));
}
