#include "log/raft_impl.h"

void
raft_send_silent_peers (struct raft *raft, clk_us now)
{
  struct raft_silent_peers silent = { 0 };

  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);

      if (peer->last_contact + raft->opts.lease_duration > now)
        continue;
      silent.list[silent.count++]
          = (struct raft_silent_peer){ .id = peer->member.id,
                                       .silent_us = now - peer->last_contact };
    }
  if (silent.count == 0)
    return;
  list_each (node, &raft->peers)
    {
      const struct raft_peer *peer = list_entry (node, struct raft_peer, node);
      struct raft_msg *msg;

      if (peer->last_contact + raft->opts.lease_duration <= now)
        continue;
      msg = raft_msg_new_to (raft, RAFT_SILENT_PEERS, peer->member.id);
      msg->u.silent_peers = silent;
      raft_send (raft, msg);
    }
}

void
raft_on_silent_peers (struct raft *raft, const struct raft_msg *msg,
                      clk_us now)
{
  if (msg->from != raft->leader_id || msg->term != raft->hard_state.term)
    return;
  raft->silent_peers = msg->u.silent_peers;
  raft->silent_peers_at = now;
}

/* Returns the time of the last contact of a leader with the member ID as
   reported, or 0 when it was not reported as silent.  */
static clk_us
raft_reported_contact (const struct raft *raft, uint64_t id)
{
  const struct raft_silent_peers *silent = &raft->silent_peers;

  for (uint32_t i = 0; i < silent->count; i++)
    if (silent->list[i].id == id
        && silent->list[i].silent_us < raft->silent_peers_at)
      return raft->silent_peers_at - silent->list[i].silent_us;
  return 0;
}

void
raft_adopt_silence (struct raft *raft)
{
  clk_us report_age_max
      = RAFT_SILENT_PEERS_HEARTBEATS * raft->opts.heartbeat_interval;
  bool reported
      = raft->silent_peers_at != 0
        && raft->silent_peers_at + report_age_max > raft->last_leader_contact;

  list_each (node, &raft->peers)
    {
      struct raft_peer *peer = list_entry (node, struct raft_peer, node);
      clk_us contact
          = reported ? raft_reported_contact (raft, peer->member.id) : 0;

      if (contact != 0)
        peer->last_contact = contact;
      else if (peer->last_contact < raft->last_leader_contact)
        peer->last_contact = raft->last_leader_contact;
    }
  raft->silent_peers_at = 0;
}
