#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/err.h"
#include "core/slog.h"
#include "tasks/replica.h"
#include "tasks/store.h"
#include "tests/suite.h"

#define NODES 3
#define CHANGES 700
#define RESTART_BOUND_US (clk_s (2))
#define WAIT_US (clk_s (15))

struct node
{
  char address[RAFT_ADDRESS_BYTES];
  char dir[96];
  struct inbox *control;
  struct store *store;
  struct replica *replica;
};

static struct node nodes[NODES];
static char base_dir[64];

/* The last result for each request, and the last fatal text.  */
static struct msg_result results[CHANGES + 100];
static bool answered[CHANGES + 100];
static char fatal[RAFT_ERROR_BYTES];
static int syncs_left = 1 << 30;

static int
sync_hook (int fd)
{
  (void)fd;
  return __atomic_fetch_sub (&syncs_left, 1, __ATOMIC_SEQ_CST) <= 0 ? -1 : 0;
}

static void
node_start (struct node *node)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };
  struct store_opts store = { .data_dir = node->dir, .sync = sync_hook };
  struct replica_opts opts = { .join_count = NODES };
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
  for (int i = 0; i < NODES; i++)
    memcpy (opts.join[i], nodes[i].address, RAFT_ADDRESS_BYTES);
  for (int i = 0; i < MSG_GROUP_COUNT; i++)
    opts.loaded[i] = store_loaded (node->store, (enum msg_group)i);
  opts.store = store_inbox (node->store);
  node->replica = replica_new (&opts, clk_now ());
}

static void
node_stop (struct node *node)
{
  replica_free (node->replica);
  store_free (node->store);
  inbox_free (node->control);
  node->replica = NULL;
}

static void
node_deliver (struct replica_send *send)
{
  for (int i = 0; i < NODES; i++)
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
node_output (struct replica_out *out)
{
  uint64_t request;

  switch (out->kind)
    {
    case REPLICA_SEND:
      node_deliver (&out->u.send);
      break;
    case REPLICA_RESULT:
      request = out->u.result.result.request_id;
      free (results[request].data);
      results[request] = out->u.result.result;
      out->u.result.result.data = NULL;
      answered[request] = true;
      break;
    case REPLICA_FATAL:
      memcpy (fatal, out->u.fatal, sizeof fatal);
      break;
    case REPLICA_CONFIG_CHANGED:
      break;
    }
  replica_out_clear (out);
}

static void
node_run (struct node *node)
{
  struct list_node *link;
  struct replica_out out;
  struct list list;

  if (node->replica == NULL)
    return;
  list_init (&list);
  inbox_drain (node->control, &list);
  while ((link = list_pop_head (&list)) != NULL)
    {
      struct msg *msg = list_entry (link, struct msg, node);

      replica_store_done (node->replica, msg->u.store_done, clk_now ());
      msg_free (msg);
    }
  replica_tick (node->replica, clk_now ());
  while (node->replica != NULL && replica_next_output (node->replica, &out))
    node_output (&out);
}

static void
run_all (void)
{
  const struct timespec pause = { .tv_nsec = 200000 };

  for (int i = 0; i < NODES; i++)
    node_run (&nodes[i]);
  nanosleep (&pause, NULL);
}

/* The replica that leads GROUP, waiting for one.  */
static struct node *
leader (enum msg_group group)
{
  clk_us until = clk_now () + WAIT_US;

  while (clk_now () < until)
    {
      run_all ();
      for (int i = 0; i < NODES; i++)
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

/* Waits for the answer to REQUEST.  */
static struct msg_result *
wait_result (uint64_t request)
{
  clk_us until = clk_now () + WAIT_US;

  while (!answered[request] && clk_now () < until)
    run_all ();
  CU_ASSERT_TRUE_FATAL (answered[request]);
  answered[request] = false;
  return &results[request];
}

static struct msg_result *
change (struct node *node, uint64_t request, uint64_t base, const char *id)
{
  struct cfg_change change = { .base = base, .document = "{}" };
  uint8_t *data;
  size_t len;

  change.document_len = strlen (change.document);
  snprintf (change.change_id, sizeof change.change_id, "%s", id);
  CU_ASSERT_EQUAL (cfg_encode (&change, &data, &len), SR_OK);
  replica_propose (node->replica, MSG_GROUP_CONFIG, request, data, len,
                   clk_now ());
  free (data);
  return wait_result (request);
}

static struct cfg_result
cfg_of (const struct msg_result *result)
{
  struct cfg_result decoded = { 0 };

  CU_ASSERT_EQUAL (result->status, SR_OK);
  CU_ASSERT_EQUAL (cfg_result_decode (result->data, result->len, &decoded),
                   SR_OK);
  return decoded;
}

static void
start_all (void)
{
  strcpy (base_dir, "/tmp/test_replica.XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (base_dir));
  syncs_left = 1 << 30;
  fatal[0] = '\0';
  for (int i = 0; i < NODES; i++)
    {
      snprintf (nodes[i].address, sizeof nodes[i].address, "127.0.0.%d:7000",
                i + 1);
      snprintf (nodes[i].dir, sizeof nodes[i].dir, "%s/%d", base_dir, i);
    }
  for (int i = 0; i < NODES; i++)
    node_start (&nodes[i]);
}

static void
stop_all (void)
{
  char command[128];

  for (int i = 0; i < NODES; i++)
    if (nodes[i].replica != NULL)
      node_stop (&nodes[i]);
  for (uint32_t i = 0; i < sizeof results / sizeof results[0]; i++)
    {
      free (results[i].data);
      results[i].data = NULL;
    }
  snprintf (command, sizeof command, "rm -r '%s'", base_dir);
  CU_ASSERT_EQUAL (system (command), 0);
}

/* Guards against a change that is applied twice when it is resent to another
   leader, a conflict that is accepted, a proposal that a follower swallows,
   and a read without the newest version.  */
static void
test_changes (void)
{
  struct node *first;
  struct node *second;
  struct msg_result *result;

  start_all ();
  first = leader (MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (cfg_of (change (first, 1, 0, "a")).number, 1);
  CU_ASSERT_EQUAL (cfg_of (change (first, 2, 0, "b")).kind, CFG_CONFLICT);
  second = first == &nodes[0] ? &nodes[1] : &nodes[0];
  result = change (second, 3, 1, "c");
  CU_ASSERT_EQUAL (result->status, SR_ENOTLEADER);
  CU_ASSERT_STRING_EQUAL (result->leader_address, first->address);
  CU_ASSERT_EQUAL (replica_transfer_leadership (first->replica, clk_now ()),
                   SR_EAGAIN);
  while (replica_transfer_leadership (first->replica, clk_now ()) == SR_EAGAIN)
    run_all ();
  second = leader (MSG_GROUP_CONFIG);
  CU_ASSERT_PTR_NOT_EQUAL (first, second);
  CU_ASSERT_EQUAL (cfg_of (change (second, 4, 0, "a")).number, 1);
  CU_ASSERT_EQUAL (cfg_of (change (second, 5, 1, "d")).number, 2);
  replica_read (second->replica, 6, clk_now ());
  result = wait_result (6);
  CU_ASSERT_EQUAL (result->status, SR_OK);
  CU_ASSERT_EQUAL (result->version.number, 2);
  CU_ASSERT_EQUAL (result->len, 2);
  stop_all ();
}

/* Guards against a claim that is granted twice.  */
static void
test_claims (void)
{
  struct claim_command command
      = { .op = CLAIM_CLAIM, .key = { 1 }, .run_ms = 1000 };
  enum claim_result_kind expected[] = { CLAIM_GRANTED, CLAIM_IN_PROGRESS };
  struct node *node;

  start_all ();
  node = leader (MSG_GROUP_CLAIMS);
  for (uint64_t i = 0; i < 2; i++)
    {
      struct claim_result decoded = { 0 };
      struct msg_result *result;
      uint8_t *data;
      size_t len;

      command.attempt[0] = (uint8_t)(i + 1);
      CU_ASSERT_EQUAL (claim_encode (&command, &data, &len), SR_OK);
      replica_propose (node->replica, MSG_GROUP_CLAIMS, i, data, len,
                       clk_now ());
      free (data);
      result = wait_result (i);
      CU_ASSERT_EQUAL (result->status, SR_OK);
      CU_ASSERT_EQUAL (
          claim_result_decode (result->data, result->len, &decoded), SR_OK);
      CU_ASSERT_EQUAL (decoded.kind, expected[i]);
    }
  stop_all ();
}

/* Guards against replicas that come back without the configuration in force
   after hundreds of changes, or later than 2 s.  */
static void
test_restart (void)
{
  struct member_config_version version;
  const char *document;
  struct node *node;
  clk_us start;
  size_t len;
  char id[16];

  start_all ();
  node = leader (MSG_GROUP_CONFIG);
  for (uint64_t i = 0; i < CHANGES; i++)
    {
      snprintf (id, sizeof id, "c%u", (unsigned)i);
      CU_ASSERT_EQUAL (cfg_of (change (node, i, i, id)).number, i + 1);
    }
  for (int i = 0; i < NODES; i++)
    node_stop (&nodes[i]);
  start = clk_now ();
  for (int i = 0; i < NODES; i++)
    node_start (&nodes[i]);
  node = leader (MSG_GROUP_CONFIG);
  replica_read (node->replica, 0, clk_now ());
  CU_ASSERT_EQUAL (wait_result (0)->version.number, CHANGES);
  CU_ASSERT_TRUE (clk_now () - start < RESTART_BOUND_US);
  printf ("restart %llu ms ",
          (unsigned long long)((clk_now () - start) / 1000));
  replica_config (node->replica, &version, &document, &len);
  CU_ASSERT_EQUAL (version.number, CHANGES);
  stop_all ();
}

/* Guards against a replica with a lost disk that is not taken back, that
   keeps its old id, or that blocks the group when a second one fails.  */
static void
test_lost_disk (void)
{
  clk_us until = clk_now () + WAIT_US;
  struct raft_status status;
  struct node *node;
  char command[128];
  struct node *lost;

  start_all ();
  node = leader (MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (cfg_of (change (node, 1, 0, "a")).number, 1);
  lost = node == &nodes[0] ? &nodes[1] : &nodes[0];
  node_stop (lost);
  snprintf (command, sizeof command, "rm -r '%s'", lost->dir);
  CU_ASSERT_EQUAL (system (command), 0);
  node_start (lost);
  do
    {
      run_all ();
      replica_status (lost->replica, MSG_GROUP_CONFIG, &status);
    }
  while (!status.is_voter && clk_now () < until);
  CU_ASSERT_TRUE (status.is_voter);
  CU_ASSERT_EQUAL (status.members.count, NODES);
  for (int i = 0; i < NODES; i++)
    if (&nodes[i] != lost && &nodes[i] != node)
      node_stop (&nodes[i]);
  node = leader (MSG_GROUP_CONFIG);
  CU_ASSERT_EQUAL (cfg_of (change (node, 2, 1, "b")).number, 2);
  stop_all ();
}

/* Guards against a replica that goes on after its disk failed.  */
static void
test_failed_sync (void)
{
  clk_us until = clk_now () + WAIT_US;
  struct node *node;

  start_all ();
  node = leader (MSG_GROUP_CONFIG);
  __atomic_store_n (&syncs_left, 0, __ATOMIC_SEQ_CST);
  replica_propose (node->replica, MSG_GROUP_CONFIG, 1, (const uint8_t *)"x", 1,
                   clk_now ());
  while (fatal[0] == '\0' && clk_now () < until)
    run_all ();
  CU_ASSERT_PTR_NOT_NULL (strstr (fatal, "sync failed"));
  CU_ASSERT_FALSE (answered[1]);
  stop_all ();
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "changes", test_changes },         { "claims", test_claims },
          { "restart", test_restart },         { "lost disk", test_lost_disk },
          { "failed sync", test_failed_sync }, { NULL, NULL } };

  slog_init ("test_replica", (enum slog_severity)0);
  return suite_run ("replica", tests);
}
