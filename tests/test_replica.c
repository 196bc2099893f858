#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/err.h"
#include "core/slog.h"
#include "tasks/replica.h"
#include "tasks/store.h"
#include "tests/suite.h"

#define NODE_COUNT 3
#define CHANGE_COUNT 700
#define RESTART_MAX_US (clk_s (2))
#define WAIT_MAX_US (clk_s (15))

struct node
{
  char address[RAFT_ADDRESS_BYTES];
  char dir[96];
  struct inbox *control;
  struct store *store;
  struct replica *replica;
};

static struct node nodes[NODE_COUNT];
static char base_dir[64];

/* The last result of each request, and the text of the last fatal error.  */
static struct msg_result results[CHANGE_COUNT + 100];
static bool has_result[CHANGE_COUNT + 100];
static char fatal_error[RAFT_ERROR_BYTES];
static int syncs_before_failure = 1 << 30;

/* Stands in for fdatasync() and fails after SYNCS_BEFORE_FAILURE calls.  */
static int
sync_until_failure (int fd)
{
  (void)fd;
  return __atomic_fetch_sub (&syncs_before_failure, 1, __ATOMIC_SEQ_CST) <= 0
             ? -1
             : 0;
}

static void
start_node (struct node *node)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };
  struct store_opts store
      = { .data_dir = node->dir, .sync = sync_until_failure };
  struct replica_opts opts = { .join_count = NODE_COUNT };
  char error[RAFT_ERROR_BYTES] = "";

  node->control = inbox_new (&inbox);
  store.control = node->control;
  CU_ASSERT_EQUAL_FATAL (store_new (&store, &node->store, error), SR_OK);
  CU_ASSERT_EQUAL (store_start (node->store), SR_OK);
  replica_opts_default (&opts);
  opts.snapshot_interval_entries = 100;
  opts.id = store_id (node->store);
  opts.seed = (uint64_t)(node - nodes);
  memcpy (opts.address, node->address, sizeof opts.address);
  for (int i = 0; i < NODE_COUNT; i++)
    memcpy (opts.join[i], nodes[i].address, RAFT_ADDRESS_BYTES);
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    opts.loaded[i] = store_loaded (node->store, (enum msg_group)i);
  opts.store = store_inbox (node->store);
  node->replica = replica_new (&opts, clk_now ());
}

static void
stop_node (struct node *node)
{
  replica_free (node->replica);
  store_free (node->store);
  inbox_free (node->control);
  node->replica = NULL;
}

static void
deliver_message (struct replica_send *send)
{
  for (int i = 0; i < NODE_COUNT; i++)
    if (nodes[i].replica != NULL
        && strcmp (nodes[i].address, send->address) == 0)
      {
        replica_handle_message (nodes[i].replica, "", send->group, send->msg,
                                clk_now ());
        send->msg = NULL;
        return;
      }
}

static void
handle_output (struct replica_out *out)
{
  uint64_t request_id;

  switch (out->kind)
    {
    case REPLICA_SEND:
      deliver_message (&out->u.send);
      break;
    case REPLICA_RESULT:
      request_id = out->u.result.result.request_id;
      free (results[request_id].data);
      results[request_id] = out->u.result.result;
      out->u.result.result.data = NULL;
      has_result[request_id] = true;
      break;
    case REPLICA_FATAL:
      memcpy (fatal_error, out->u.fatal, sizeof fatal_error);
      break;
    case REPLICA_CONFIG_CHANGED:
      break;
    }
  replica_out_clear (out);
}

static void
run_node (struct node *node)
{
  struct list_node *link;
  struct replica_out out;
  struct list messages;

  if (node->replica == NULL)
    return;
  list_init (&messages);
  inbox_drain (node->control, &messages);
  while ((link = list_pop_head (&messages)) != NULL)
    {
      struct msg *msg = list_entry (link, struct msg, node);

      replica_handle_store_done (node->replica, msg->u.store_done, clk_now ());
      msg_free (msg);
    }
  replica_tick (node->replica, clk_now ());
  while (node->replica != NULL && replica_next_output (node->replica, &out))
    handle_output (&out);
}

static void
run_nodes (void)
{
  const struct timespec pause = { .tv_nsec = 200000 };

  for (int i = 0; i < NODE_COUNT; i++)
    run_node (&nodes[i]);
  nanosleep (&pause, NULL);
}

/* Waits for a leader of GROUP and returns its node.  */
static struct node *
wait_leader (enum msg_group group)
{
  clk_us deadline = clk_now () + WAIT_MAX_US;

  while (clk_now () < deadline)
    {
      run_nodes ();
      for (int i = 0; i < NODE_COUNT; i++)
        {
          struct raft_status status;

          if (nodes[i].replica == NULL)
            continue;
          replica_status (nodes[i].replica, group, &status);
          if (status.role == RAFT_LEADER)
            return &nodes[i];
        }
    }
  CU_FAIL_FATAL ("no leader");
  return NULL;
}

/* Waits for the result of request REQUEST_ID.  */
static struct msg_result *
wait_result (uint64_t request_id)
{
  clk_us deadline = clk_now () + WAIT_MAX_US;

  while (!has_result[request_id] && clk_now () < deadline)
    run_nodes ();
  CU_ASSERT_TRUE_FATAL (has_result[request_id]);
  has_result[request_id] = false;
  return &results[request_id];
}

/* Proposes change ID, based on configuration version BASE_VERSION, and waits
   for its result.  */
static struct msg_result *
propose_change (struct node *node, uint64_t request_id, uint64_t base_version,
                const char *id)
{
  struct cfg_change change = { .base = base_version, .document = "{}" };
  uint8_t *data;
  size_t len;

  change.document_len = strlen (change.document);
  snprintf (change.change_id, sizeof change.change_id, "%s", id);
  CU_ASSERT_EQUAL (cfg_change_encode (&change, &data, &len), SR_OK);
  replica_propose (node->replica, MSG_GROUP_CONFIG, request_id, data, len,
                   clk_now ());
  free (data);
  return wait_result (request_id);
}

static struct cfg_result
decode_config_result (const struct msg_result *result)
{
  struct cfg_result decoded = { 0 };

  CU_ASSERT_EQUAL (result->status, SR_OK);
  CU_ASSERT_EQUAL (cfg_result_decode (result->data, result->len, &decoded),
                   SR_OK);
  return decoded;
}

static void
start_nodes (void)
{
  strcpy (base_dir, "/tmp/test_replica.XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (base_dir));
  syncs_before_failure = 1 << 30;
  fatal_error[0] = '\0';
  for (int i = 0; i < NODE_COUNT; i++)
    {
      snprintf (nodes[i].address, sizeof nodes[i].address, "127.0.0.%d:7000",
                i + 1);
      snprintf (nodes[i].dir, sizeof nodes[i].dir, "%s/%d", base_dir, i);
    }
  for (int i = 0; i < NODE_COUNT; i++)
    start_node (&nodes[i]);
}

static void
stop_nodes (void)
{
  char command[128];

  for (int i = 0; i < NODE_COUNT; i++)
    if (nodes[i].replica != NULL)
      stop_node (&nodes[i]);
  for (uint32_t i = 0; i < sizeof results / sizeof results[0]; i++)
    {
      free (results[i].data);
      results[i].data = NULL;
    }
  snprintf (command, sizeof command, "rm -r '%s'", base_dir);
  CU_ASSERT_EQUAL (system (command), 0);
}

/* Guards against a change that is applied twice because it is resent to
   another leader, a change based on an old version that is accepted, a
   proposal to a follower that gets no result, and a read that returns an old
   version.  */
static void
test_config_changes (void)
{
  struct node *first;
  struct node *second;
  struct msg_result *result;

  start_nodes ();
  first = wait_leader (MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (
      decode_config_result (propose_change (first, 1, 0, "a")).number, 1);
  CU_ASSERT_EQUAL (
      decode_config_result (propose_change (first, 2, 0, "b")).kind,
      CFG_CONFLICT);
  second = first == &nodes[0] ? &nodes[1] : &nodes[0];
  result = propose_change (second, 3, 1, "c");
  CU_ASSERT_EQUAL (result->status, SR_ENOTLEADER);
  CU_ASSERT_STRING_EQUAL (result->leader_address, first->address);
  CU_ASSERT_EQUAL (replica_transfer_leadership (first->replica, clk_now ()),
                   SR_EAGAIN);
  while (replica_transfer_leadership (first->replica, clk_now ()) == SR_EAGAIN)
    run_nodes ();
  second = wait_leader (MSG_GROUP_CONFIG);
  CU_ASSERT_PTR_NOT_EQUAL (first, second);
  CU_ASSERT_EQUAL (
      decode_config_result (propose_change (second, 4, 0, "a")).number, 1);
  CU_ASSERT_EQUAL (
      decode_config_result (propose_change (second, 5, 1, "d")).number, 2);
  replica_read (second->replica, 6, clk_now ());
  result = wait_result (6);
  CU_ASSERT_EQUAL (result->status, SR_OK);
  CU_ASSERT_EQUAL (result->version.number, 2);
  CU_ASSERT_EQUAL (result->len, 2);
  stop_nodes ();
}

/* Guards against a claim that is granted to two attempts with the same key. */
static void
test_claim_is_granted_once (void)
{
  struct claim_command command
      = { .op = CLAIM_CLAIM, .key = { 1 }, .run_ms = 1000 };
  enum claim_result_kind expected[] = { CLAIM_GRANTED, CLAIM_IN_PROGRESS };
  struct node *node;

  start_nodes ();
  node = wait_leader (MSG_GROUP_CLAIMS);
  for (uint64_t i = 0; i < 2; i++)
    {
      struct claim_result decoded = { 0 };
      struct msg_result *result;
      uint8_t *data;
      size_t len;

      command.attempt[0] = (uint8_t)(i + 1);
      CU_ASSERT_EQUAL (claim_command_encode (&command, &data, &len), SR_OK);
      replica_propose (node->replica, MSG_GROUP_CLAIMS, i, data, len,
                       clk_now ());
      free (data);
      result = wait_result (i);
      CU_ASSERT_EQUAL (result->status, SR_OK);
      CU_ASSERT_EQUAL (
          claim_result_decode (result->data, result->len, &decoded), SR_OK);
      CU_ASSERT_EQUAL (decoded.kind, expected[i]);
    }
  stop_nodes ();
}

/* Guards against replicas that restart with an old configuration after
   hundreds of changes, or need longer than 2 s.  */
static void
test_restart (void)
{
  struct member_config_version version;
  const char *document;
  struct node *node;
  clk_us start;
  size_t len;
  char id[16];

  start_nodes ();
  node = wait_leader (MSG_GROUP_CONFIG);
  for (uint64_t i = 0; i < CHANGE_COUNT; i++)
    {
      snprintf (id, sizeof id, "c%u", (unsigned)i);
      CU_ASSERT_EQUAL (
          decode_config_result (propose_change (node, i, i, id)).number,
          i + 1);
    }
  for (int i = 0; i < NODE_COUNT; i++)
    stop_node (&nodes[i]);
  start = clk_now ();
  for (int i = 0; i < NODE_COUNT; i++)
    start_node (&nodes[i]);
  node = wait_leader (MSG_GROUP_CONFIG);
  replica_read (node->replica, 0, clk_now ());
  CU_ASSERT_EQUAL (wait_result (0)->version.number, CHANGE_COUNT);
  CU_ASSERT_TRUE (clk_now () - start < RESTART_MAX_US);
  printf ("restart %llu ms ",
          (unsigned long long)((clk_now () - start) / 1000));
  replica_config (node->replica, &version, &document, &len);
  CU_ASSERT_EQUAL (version.number, CHANGE_COUNT);
  stop_nodes ();
}

/* Guards against a replica with a lost disk that does not become a voter
   again, that keeps its former id, or that leaves the group without a quorum
   when another one fails.  */
static void
test_lost_disk (void)
{
  clk_us deadline = clk_now () + WAIT_MAX_US;
  struct raft_status status;
  struct node *node;
  char command[128];
  struct node *replaced;

  start_nodes ();
  node = wait_leader (MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (
      decode_config_result (propose_change (node, 1, 0, "a")).number, 1);
  replaced = node == &nodes[0] ? &nodes[1] : &nodes[0];
  stop_node (replaced);
  snprintf (command, sizeof command, "rm -r '%s'", replaced->dir);
  CU_ASSERT_EQUAL (system (command), 0);
  start_node (replaced);
  do
    {
      run_nodes ();
      replica_status (replaced->replica, MSG_GROUP_CONFIG, &status);
    }
  while (!status.is_voter && clk_now () < deadline);
  CU_ASSERT_TRUE (status.is_voter);
  CU_ASSERT_EQUAL (status.members.count, NODE_COUNT);
  for (int i = 0; i < NODE_COUNT; i++)
    if (&nodes[i] != replaced && &nodes[i] != node)
      stop_node (&nodes[i]);
  node = wait_leader (MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (
      decode_config_result (propose_change (node, 2, 1, "b")).number, 2);
  stop_nodes ();
}

/* Guards against a replica that continues after a sync has failed: it would
   acknowledge entries that are not durable.  */
static void
test_failed_sync (void)
{
  clk_us deadline = clk_now () + WAIT_MAX_US;
  struct node *node;

  start_nodes ();
  node = wait_leader (MSG_GROUP_CONFIG);
  __atomic_store_n (&syncs_before_failure, 0, __ATOMIC_SEQ_CST);
  replica_propose (node->replica, MSG_GROUP_CONFIG, 1, (const uint8_t *)"x", 1,
                   clk_now ());
  while (fatal_error[0] == '\0' && clk_now () < deadline)
    run_nodes ();
  CU_ASSERT_PTR_NOT_NULL (strstr (fatal_error, "sync failed"));
  CU_ASSERT_FALSE (has_result[1]);
  stop_nodes ();
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "config changes", test_config_changes },
          { "claim is granted once", test_claim_is_granted_once },
          { "restart after many changes", test_restart },
          { "lost disk is replaced", test_lost_disk },
          { "failed sync is fatal", test_failed_sync },
          { NULL, NULL } };

  slog_init ("test_replica", (enum slog_severity)0);
  return suite_run ("replica", tests);
}
