/* Guards against a malformed address in the settings that is accepted and read as another
 * address. */
#include "protected/address.h"
#include "runner.h"

typedef struct
{
  const char *text;
  gboolean valid;
} AddressCase;

static void
test_address (void)
{
  static const AddressCase cases[] = {
    { "127.1.2.3:7000", TRUE },
    { "0.0.0.0:1", TRUE },
    { "127.0.0.1", FALSE },
    { "127.0.0.1:0", FALSE },
    { "127.0.0.1:65536", FALSE },
    { "127.0.0.256:1", FALSE },
    { "127.0.0.1:+5", FALSE },
    { "localhost:80", FALSE },
    { "", FALSE },
    { "127.0.0.1: 80", FALSE },
    { ":80", FALSE },
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GError) error = NULL;
      DpAddress address;
      char text[DP_ADDRESS_STRLEN];
      gboolean valid = dp_address_parse (cases[i].text, &address, &error);

      CU_ASSERT_EQUAL (valid, cases[i].valid);
      CU_ASSERT_EQUAL (error == NULL, cases[i].valid);
      if (valid)
        CU_ASSERT_STRING_EQUAL (dp_address_format (&address, text), cases[i].text);
    }
}

static void
test_network (void)
{
  static const AddressCase cases[] = {
    { "127.0.0.0/8", TRUE }, { "0.0.0.0/0", TRUE },    { "10.1.2.3/32", TRUE },
    { "10.1.2.3/8", FALSE }, { "10.0.0.0/33", FALSE }, { "10.0.0.0", FALSE },
  };
  DpNetwork network;

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (dp_network_parse (cases[i].text, &network, NULL), cases[i].valid);
  CU_ASSERT_TRUE_FATAL (dp_network_parse ("127.0.0.0/8", &network, NULL));
  CU_ASSERT_TRUE (dp_network_contains (&network, 0x7f010203));
  CU_ASSERT_FALSE (dp_network_contains (&network, 0x0a000001));
}

static const DpTestCase cases_[] = {
  { "addresses with a port are parsed", test_address },
  { "networks are parsed", test_network },
};

DP_TEST_MAIN ("address", cases_)
