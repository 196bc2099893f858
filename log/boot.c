#include "log/boot.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/err.h"
#include "core/list.h"

/* Another replica, by its address: from --join, or the leader named in a
   RAFT_HELLO_REPLY.  */
struct boot_peer
{
  struct list_node node;
  char address[RAFT_ADDRESS_BYTES];
  bool listed; /* in --join */
  clk_us answered_at;
  bool in_group;
  bool same_peers_digest; /* it replied with the own digest */
  uint64_t id;
  uint64_t term;
};

struct boot
{
  struct boot_opts opts;
  struct list peers; /* struct boot_peer, by address */
  uint64_t peers_digest;
  clk_us next_hello_at;
  struct list_node *next_hello_peer; /* NULL between two rounds */
  bool created;
};

static struct boot_peer *
boot_peer_of (struct list_node *node)
{
  return list_entry (node, struct boot_peer, node);
}

/* Returns the peer with ADDRESS, added when new; the list is sorted by
   address.  */
static struct boot_peer *
boot_peer_add (struct boot *boot, const char *address)
{
  struct list_node *pos = &boot->peers.head;
  struct boot_peer *peer;

  list_each (node, &boot->peers)
    {
      int comparison = strcmp (boot_peer_of (node)->address, address);

      if (comparison == 0)
        return boot_peer_of (node);
      if (comparison > 0)
        {
          pos = node;
          break;
        }
    }
  peer = calloc (1, sizeof *peer);
  INVARIANT (peer != NULL);
  memcpy (peer->address, address, strnlen (address, RAFT_ADDRESS_BYTES - 1));
  list_insert_before (pos, &peer->node);
  return peer;
}

/* Hashes the sorted addresses, the own one included.  */
static uint64_t
boot_hash_addresses (const struct boot *boot)
{
  bool own_hashed = false;
  uint64_t hash = 0;

  list_each (node, &boot->peers)
    {
      const struct boot_peer *peer = boot_peer_of (node);

      if (!own_hashed && strcmp (boot->opts.address, peer->address) < 0)
        {
          hash = XXH64 (boot->opts.address, strlen (boot->opts.address), hash);
          own_hashed = true;
        }
      hash = XXH64 (peer->address, strlen (peer->address), hash);
    }
  if (!own_hashed)
    hash = XXH64 (boot->opts.address, strlen (boot->opts.address), hash);
  return hash;
}

struct boot *
boot_new (const struct boot_opts *opts)
{
  struct boot *boot = calloc (1, sizeof *boot);
  uint32_t replica_count = 1;

  INVARIANT (boot != NULL);
  INVARIANT (opts->id != 0 && opts->join_count <= RAFT_MEMBERS_MAX);
  boot->opts = *opts;
  list_init (&boot->peers);
  for (uint32_t i = 0; i < opts->join_count; i++)
    if (strcmp (opts->join[i], opts->address) != 0)
      boot_peer_add (boot, opts->join[i])->listed = true;
  list_each (node, &boot->peers)
    replica_count++;
  if (replica_count > RAFT_MEMBERS_MAX)
    {
      boot_free (boot);
      return NULL;
    }
  boot->peers_digest = boot_hash_addresses (boot);
  return boot;
}

void
boot_free (struct boot *boot)
{
  struct list_node *node;

  if (boot == NULL)
    return;
  while ((node = list_pop_head (&boot->peers)) != NULL)
    free (boot_peer_of (node));
  free (boot);
}

uint64_t
boot_peers_digest (const struct boot *boot)
{
  return boot->peers_digest;
}

void
boot_handle_reply (struct boot *boot, const char *address,
                   const struct raft_msg *reply, clk_us now)
{
  const struct raft_hello_reply *hello = &reply->u.hello_reply;

  list_each (node, &boot->peers)
    {
      struct boot_peer *peer = boot_peer_of (node);

      if (strcmp (peer->address, address) != 0)
        continue;
      peer->answered_at = now;
      peer->in_group = hello->in_group;
      peer->same_peers_digest = hello->peers_digest == boot->peers_digest;
      peer->id = reply->from;
      peer->term = reply->term;
    }
  if (hello->leader_address[0] != '\0'
      && strcmp (hello->leader_address, boot->opts.address) != 0)
    boot_peer_add (boot, hello->leader_address);
}

/* Whether this replica has the lowest address, and recent replies of all peers
   show that there is no group yet.  */
static bool
boot_may_create (const struct boot *boot, clk_us now)
{
  uint32_t replica_count = 1;

  if (boot->opts.group_exists)
    return false;
  list_each (node, &boot->peers)
    {
      const struct boot_peer *peer = boot_peer_of (node);

      if (!peer->listed)
        return false;
      if (peer->in_group || !peer->same_peers_digest
          || peer->answered_at + clk_ms (BOOT_REPLY_AGE_MAX_MS) < now)
        return false;
      if (strcmp (peer->address, boot->opts.address) < 0)
        return false;
      replica_count++;
    }
  return replica_count <= RAFT_VOTERS_MAX;
}

/* Sets CREATE to the membership of a new group, and to a term above those of
   all peers.  */
static void
boot_fill_create (const struct boot *boot, struct boot_create *create)
{
  struct raft_members *members = &create->members;

  *create = (struct boot_create){ .term = 1 };
  members->count = 1;
  members->list[0].id = boot->opts.id;
  memcpy (members->list[0].address, boot->opts.address, RAFT_ADDRESS_BYTES);
  list_each (node, &boot->peers)
    {
      const struct boot_peer *peer = boot_peer_of (node);
      struct raft_member *member = &members->list[members->count++];

      *member = (struct raft_member){ .id = peer->id };
      memcpy (member->address, peer->address, RAFT_ADDRESS_BYTES);
      if (peer->term >= create->term)
        create->term = peer->term + 1;
    }
}

void
boot_next_step (struct boot *boot, bool empty, clk_us now,
                struct boot_step *step)
{
  if (empty && !boot->created && boot_may_create (boot, now))
    {
      boot->created = true;
      step->kind = BOOT_CREATE;
      boot_fill_create (boot, &step->u.create);
      return;
    }
  if (boot->next_hello_peer == NULL && now >= boot->next_hello_at)
    {
      boot->next_hello_at = now + clk_ms (BOOT_HELLO_INTERVAL_MS);
      boot->next_hello_peer = list_first (&boot->peers);
    }
  if (boot->next_hello_peer != NULL)
    {
      step->kind = BOOT_HELLO;
      memcpy (step->u.address, boot_peer_of (boot->next_hello_peer)->address,
              RAFT_ADDRESS_BYTES);
      boot->next_hello_peer = boot->next_hello_peer->next;
      if (boot->next_hello_peer == &boot->peers.head)
        boot->next_hello_peer = NULL;
      return;
    }
  step->kind = BOOT_WAIT;
  step->u.wait_until = boot->next_hello_at;
}
