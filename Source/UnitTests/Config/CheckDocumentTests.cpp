#include "Config/Queries/CheckDocument.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

// Guards against a wrong fault position after comments and numbers.
Test(CheckDocument, reportsPositionBehindComments)
{
    const auto result = checkDocument("{ // comment\n  \"zones\": [\"a\"], /* x */ \"organisations\": {\n"
                                      "    \"o\": {\"rate\": 1/*c*/, \"burst\": -2} } }");
    cr_assert(!result);
    cr_assert_eq(result.error().size(), 1);
    cr_assert_eq(result.error()[0].line, 3);
    cr_assert_eq(result.error()[0].column, 36);
}
