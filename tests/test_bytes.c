#include <stdlib.h>
#include <string.h>

#include "core/bytes.h"
#include "core/htable.h"
#include "core/rng.h"
#include "sycamorerudder.h"
#include "tests/suite.h"

#define TEXT_BYTES 8

/* Reads the values of write_sample(); returns the result of
   bytes_reader_finish().  */
static int
read_sample (const uint8_t *data, size_t len)
{
  struct bytes_reader reader;
  uint8_t raw[3];
  char text[TEXT_BYTES];
  const uint8_t *blob;
  size_t blob_len;

  bytes_reader_init (&reader, data, len);
  CU_ASSERT_TRUE (bytes_get_u8 (&reader) == 0xab || reader.failed);
  CU_ASSERT_TRUE (bytes_get_u32 (&reader) == 0x12345678u || reader.failed);
  CU_ASSERT_TRUE (bytes_get_u64 (&reader) == UINT64_MAX - 1 || reader.failed);
  bytes_get_raw (&reader, raw, sizeof raw);
  CU_ASSERT_TRUE (memcmp (raw, "raw", 3) == 0 || reader.failed);
  bytes_get_text (&reader, text, sizeof text);
  CU_ASSERT_TRUE (strcmp (text, "seven77") == 0 || reader.failed);
  blob = bytes_get_blob (&reader, 200, &blob_len);
  CU_ASSERT_PTR_NOT_NULL (blob);
  CU_ASSERT_TRUE (blob_len == 200 || reader.failed);
  return bytes_reader_finish (&reader);
}

static void
write_sample (uint8_t **out, size_t *len)
{
  struct bytes_writer writer;
  uint8_t blob[200] = { 7 };

  bytes_writer_init (&writer, 0);
  bytes_put_u8 (&writer, 0xab);
  bytes_put_u32 (&writer, 0x12345678u);
  bytes_put_u64 (&writer, UINT64_MAX - 1);
  bytes_put_raw (&writer, "raw", 3);
  bytes_put_blob (&writer, "seven77", 7);
  bytes_put_blob (&writer, blob, sizeof blob);
  CU_ASSERT_EQUAL (bytes_writer_finish (&writer, out, len), SR_OK);
}

/* Guards against values that differ after a round trip, a reader that goes
   past the end of truncated input, and trailing bytes that are accepted.  */
static void
test_round_trip_and_truncation (void)
{
  uint8_t *data;
  size_t len;

  write_sample (&data, &len);
  CU_ASSERT_EQUAL (read_sample (data, len), SR_OK);
  for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
    {
      /* A copy of exactly this size lets the sanitizer detect a read past its
         end.  */
      uint8_t *copy = malloc (truncated_len + 1);

      memcpy (copy + 1, data, truncated_len);
      CU_ASSERT_EQUAL (read_sample (copy + 1, truncated_len), SR_EMALFORMED);
      free (copy);
    }
  data = realloc (data, len + 1);
  data[len] = 0;
  CU_ASSERT_EQUAL (read_sample (data, len + 1), SR_EMALFORMED);
  free (data);
}

/* Guards against a text that overflows its buffer, is empty or contains a NUL
   byte.  */
static void
test_text_limits (void)
{
  static const struct
  {
    const char *text;
    uint8_t len;
    int expected;
  } cases[] = { { "seven77", 7, SR_OK },
                { "eight888", 8, SR_EMALFORMED },
                { "", 0, SR_EMALFORMED },
                { "a\0b", 3, SR_EMALFORMED } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint8_t data[16] = { cases[i].len };
      struct bytes_reader reader;
      char text[TEXT_BYTES];

      memcpy (data + 4, cases[i].text, cases[i].len);
      bytes_reader_init (&reader, data, 4u + cases[i].len);
      bytes_get_text (&reader, text, sizeof text);
      CU_ASSERT_EQUAL (bytes_reader_finish (&reader), cases[i].expected);
    }
}

struct item
{
  struct htable_node node;
  bool added;
};

static bool
table_contains (struct htable *table, const struct item *item, uint64_t hash)
{
  list_each (node, htable_bucket (table, hash))
    if (list_entry (node, struct item, node.node) == item)
      return true;
  return false;
}

/* Guards against items that are lost or duplicated while the table doubles its
   buckets.  */
static void
test_hash_table_doubling (void)
{
  enum
  {
    ITEM_COUNT = 3000
  };
  struct item *items = calloc (ITEM_COUNT, sizeof *items);
  struct htable table;
  struct rng rng;
  size_t count = 0;

  rng_seed (&rng, 7);
  CU_ASSERT_EQUAL (htable_init (&table), SR_OK);
  for (int step = 0; step < 4 * ITEM_COUNT; step++)
    {
      uint32_t i = rng_below (&rng, ITEM_COUNT);
      uint64_t hash = htable_hash_bytes (&i, sizeof i);

      CU_ASSERT_EQUAL_FATAL (table_contains (&table, &items[i], hash),
                             items[i].added);
      if (!items[i].added)
        htable_add (&table, &items[i].node, hash);
      else if (rng_below (&rng, 4) == 0)
        htable_remove (&table, &items[i].node);
      else
        continue;
      items[i].added = !items[i].added;
      count += items[i].added ? 1 : (size_t)-1;
      CU_ASSERT_EQUAL (table.item_count, count);
    }
  htable_fini (&table);
  free (items);
}

/* Guards against lookups that miss an item or return one of another hash while
   the table doubles its buckets, and against items that a drain leaves out or
   returns twice.  */
static void
test_hash_table_find_and_drain (void)
{
  enum
  {
    ITEM_COUNT = 700
  };
  struct item *items = calloc (ITEM_COUNT, sizeof *items);
  struct htable table;
  struct list all;
  struct list_node *node;
  uint32_t count = 0;

  list_init (&all);
  CU_ASSERT_EQUAL (htable_init (&table), SR_OK);
  for (uint32_t i = 0; i < ITEM_COUNT; i++)
    {
      htable_add (&table, &items[i].node, htable_hash_bytes (&i, sizeof i));
      for (uint32_t j = 0; j <= i; j += 1 + i / 20)
        CU_ASSERT_PTR_EQUAL_FATAL (
            htable_find (&table, htable_hash_bytes (&j, sizeof j)),
            &items[j].node);
      CU_ASSERT_PTR_NULL (htable_find (&table, i));
    }
  htable_drain (&table, &all);
  CU_ASSERT_EQUAL (table.item_count, 0);
  CU_ASSERT_PTR_NULL (htable_find (&table, items[0].node.hash));
  while ((node = list_pop_head (&all)) != NULL)
    {
      struct item *item = list_entry (node, struct item, node.node);

      CU_ASSERT_FALSE (item->added);
      item->added = true;
      count++;
    }
  CU_ASSERT_EQUAL (count, ITEM_COUNT);
  htable_fini (&table);
  free (items);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "round trip and truncation", test_round_trip_and_truncation },
          { "text limits", test_text_limits },
          { "hash table doubling", test_hash_table_doubling },
          { "hash table find and drain", test_hash_table_find_and_drain },
          { NULL, NULL } };

  return suite_run ("bytes", tests);
}
