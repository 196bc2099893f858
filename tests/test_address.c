#include "core/address.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

static void
test_valid_address (void)
{
  struct address address;

  CU_ASSERT_EQUAL (address_parse ("10.1.0.8:8301", &address), SR_OK);
  CU_ASSERT_STRING_EQUAL (address.ip, "10.1.0.8");
  CU_ASSERT_EQUAL (address.port, 8301);
  CU_ASSERT_EQUAL (address_parse ("255.255.255.255:65535", &address), SR_OK);
  CU_ASSERT_EQUAL (address.port, 65535);
  CU_ASSERT_EQUAL (address_parse ("127.0.0.1:1", &address), SR_OK);
  CU_ASSERT_EQUAL (address.port, 1);
}

/* Guards against an impossible address that is taken for a server, and against
   a port that is cut to 16 bits.  */
static void
test_impossible_addresses (void)
{
  static const char *const texts[] = { "",
                                       ":",
                                       ":80",
                                       "10.1.0.8",
                                       "10.1.0.8:",
                                       "10.1.0.8:0",
                                       "10.1.0.8:-1",
                                       "10.1.0.8:+80",
                                       "10.1.0.8: 80",
                                       "10.1.0.8:80x",
                                       "10.1.0.8:65536",
                                       "10.1.0.8:70000",
                                       "10.1.0.8:12345678901234567890",
                                       "10.1.0:80",
                                       "10.1.0.256:80",
                                       "[::1",
                                       "[::1]:80",
                                       "host.name:80",
                                       "1111111111111111111111111111:80" };
  struct address address = { .port = 7 };

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    SUITE_SEEDED (address_parse (texts[i], &address) == SR_EINVAL
                      && address.port == 7,
                  i);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "valid addresses", test_valid_address },
          { "impossible addresses", test_impossible_addresses },
          { NULL, NULL } };

  return suite_run ("address", tests);
}
