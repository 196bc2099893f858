#include <stdint.h>

#include "core/decimal.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

/* Guards against a number that differs from the text: one that is cut at the
   largest value, or read up to the first other character.  */
static void
test_numbers (void)
{
  static const struct
  {
    const char *text;
    uint64_t max;
    int status;
    uint64_t number;
  } cases[] = {
    { "0", 0, SR_OK, 0 },
    { "1", 0, SR_EINVAL, 0 },
    { "7", 6, SR_EINVAL, 0 },
    { "007", 9, SR_OK, 7 },
    { "10", 10, SR_OK, 10 },
    { "11", 10, SR_EINVAL, 0 },
    { "9223372036854775807", INT64_MAX, SR_OK, INT64_MAX },
    { "9223372036854775808", INT64_MAX, SR_EINVAL, 0 },
    { "18446744073709551615", UINT64_MAX, SR_OK, UINT64_MAX },
    { "18446744073709551616", UINT64_MAX, SR_EINVAL, 0 },
    { "99999999999999999999999", UINT64_MAX, SR_EINVAL, 0 },
    { "", UINT64_MAX, SR_EMALFORMED, 0 },
    { NULL, UINT64_MAX, SR_EMALFORMED, 0 },
    { "-1", UINT64_MAX, SR_EMALFORMED, 0 },
    { "+1", UINT64_MAX, SR_EMALFORMED, 0 },
    { " 1", UINT64_MAX, SR_EMALFORMED, 0 },
    { "1 ", UINT64_MAX, SR_EMALFORMED, 0 },
    { "1.5", UINT64_MAX, SR_EMALFORMED, 0 },
    { "0x1", UINT64_MAX, SR_EMALFORMED, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint64_t number = 0;

      SUITE_SEEDED (decimal_parse (cases[i].text, cases[i].max, &number)
                        == cases[i].status,
                    i);
      SUITE_SEEDED (number == cases[i].number, i);
    }
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "numbers and what is none", test_numbers }, { NULL, NULL } };

  return suite_run ("decimal", tests);
}
