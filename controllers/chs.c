#include "controllers/chs.h"

#include <stdlib.h>
#include <string.h>

#include "controllers/spd.h"
#include "core/err.h"

/* Servers that one pick looks at; a service has 1,100 / 120 on average.  */
#define CHS_SERVERS_MAX 256u
#define CHS_RAMP_COLD clk_s (10)
#define CHS_RAMP_REINSTATED clk_s (5)
/* Share of load at the start of a ramp.  */
#define CHS_RAMP_LEAST 0.1
/* An admission level older than this is ignored.  */
#define CHS_LEVEL_FRESH clk_ms (500)
/* One request in this many passes to refresh the levels.  */
#define CHS_REFRESH_ONE_IN 50u
/* A straggler is this much slower than the median of the others.  */
#define CHS_STRAGGLER 3.0
/* Differences below this are jitter of scheduling, not slowness.  */
#define CHS_STRAGGLER_LEAST_US 1000.0
#define CHS_ANSWERS_LEAST 5u
#define CHS_FAILURES_MOST 0.5
#define CHS_FAILURE_GAIN 0.15
/* Probes: at most one in this many picks, and not more often than the
   interval, unless the last one is very long ago.  */
#define CHS_PROBE_ONE_IN 200u
#define CHS_PROBE_EVERY clk_ms (250)
#define CHS_PROBE_LATEST clk_s (5)
#define CHS_PROBES_GOOD 3u
#define CHS_PROBE_FAST 2.0
/* Ejection is reviewed at most this often.  */
#define CHS_REVIEW_US clk_ms (5)
/* Scores within this factor are equal; the own failure domain decides.  */
#define CHS_EQUAL 1.2
/* A report of load counts for this long.  */
#define CHS_LOAD_FRESH clk_ms (400)
/* Load from which on a server slows down.  */
#define CHS_LOAD_FULL 0.85
#define CHS_RUN_GAIN 0.1
/* Random part of an expected time.  */
#define CHS_NOISE 0.15
/* Draws to find a server that its ramp lets through.  */
#define CHS_RAMP_DRAWS 4

struct chs
{
  struct chs_opts opts;
  struct lst servers;
  uint32_t count;
  clk_us reviewed_at;
  struct spd_histogram latencies[CHS_COSTS];
};

/* Servers that a pick may choose from.  */
struct candidates
{
  uint32_t count;
  struct chs_server *servers[CHS_SERVERS_MAX];
};

struct chs *
chs_new (const struct chs_opts *opts)
{
  struct chs *chs = calloc (1, sizeof *chs);

  if (chs == NULL)
    return NULL;
  chs->opts = *opts;
  lst_init (&chs->servers);
  return chs;
}

void
chs_free (struct chs *chs)
{
  if (chs == NULL)
    return;
  lst_each (node, &chs->servers)
    {
      lst_remove (node);
      free (lst_entry (node, struct chs_server, node));
    }
  free (chs);
}

void
chs_configure (struct chs *chs, const struct chs_opts *opts)
{
  chs->opts = *opts;
}

static struct chs_server *
server_find (struct chs *chs, const char *instance)
{
  lst_each (node, &chs->servers)
    {
      struct chs_server *server = lst_entry (node, struct chs_server, node);

      if (strcmp (server->instance, instance) == 0)
        return server;
    }
  return NULL;
}

/* Forgets what was measured of an earlier incarnation.  */
static void
server_restart (struct chs_server *server, clk_us now)
{
  for (int cost = 0; cost < CHS_COSTS; cost++)
    spd_reset (&server->speed[cost], now);
  memset (server->ran_us, 0, sizeof server->ran_us);
  server->load_at = 0;

  server->failures = 0;
  server->ejected = false;
  server->level_at = 0;
  server->joined = now;
  server->ramp_from = now;
  server->ramp = CHS_RAMP_COLD;
}

int
chs_update (struct chs *chs, const struct chs_server *seen, clk_us now)
{
  struct chs_server *server = server_find (chs, seen->instance);

  if (server == NULL)
    {
      if (chs->count >= CHS_SERVERS_MAX)
        return SR_EFULL;
      server = calloc (1, sizeof *server);
      if (server == NULL)
        return SR_ENOMEM;
      memcpy (server->instance, seen->instance, sizeof server->instance);
      lst_push_tail (&chs->servers, &server->node);
      chs->count++;
      server_restart (server, now);
    }
  else if (server->incarnation != seen->incarnation)
    server_restart (server, now);
  memcpy (server->address, seen->address, sizeof server->address);
  memcpy (server->failure_domain, seen->failure_domain,
          sizeof server->failure_domain);
  server->incarnation = seen->incarnation;
  server->local = seen->local;
  server->draining = seen->draining;
  server->slots = seen->slots > 0 ? seen->slots : 1;
  server->present = true;
  return SR_OK;
}

void
chs_mark (struct chs *chs)
{
  lst_each (node, &chs->servers)
    lst_entry (node, struct chs_server, node)->present = false;
}

static void
server_drop_unused (struct chs *chs, struct chs_server *server)
{
  if (server->present || server->users > 0)
    return;
  lst_remove (&server->node);
  chs->count--;
  free (server);
}

void
chs_sweep (struct chs *chs)
{
  lst_each (node, &chs->servers)
    server_drop_unused (chs, lst_entry (node, struct chs_server, node));
}

double
chs_weight (const struct chs_server *server, clk_us now)
{
  double share;

  if (server->ramp == 0 || now >= server->ramp_from + server->ramp)
    return 1;
  share = (double)(now - server->ramp_from) / (double)server->ramp;
  return share < CHS_RAMP_LEAST ? CHS_RAMP_LEAST : share;
}

/* Median speed of the servers other than EXCEPT that take part; 0 when no
   other one is known.  */
static double
median_of_others (const struct chs *chs, const struct chs_server *except,
                  enum mdl_cost cost)
{
  double values[CHS_SERVERS_MAX];
  uint32_t count = 0;

  lst_each (node, &chs->servers)
    {
      const struct chs_server *server
          = lst_entry (node, struct chs_server, node);

      if (server != except && !server->ejected && server->present
          && server->speed[cost].answers >= CHS_ANSWERS_LEAST)
        values[count++] = server->speed[cost].average_us;
    }
  return spd_median (values, count);
}

/* Whether SERVER answers this cost of work much more slowly than others.  */
static bool
server_slow (const struct chs *chs, const struct chs_server *server,
             enum mdl_cost cost, clk_us now)
{
  double average = spd_estimate (&server->speed[cost], now);
  double median;

  if (average <= CHS_STRAGGLER_LEAST_US
      || server->speed[cost].answers < CHS_ANSWERS_LEAST)
    return false;
  median = median_of_others (chs, server, cost);
  return median > 0 && average > CHS_STRAGGLER * median
         && average > median + CHS_STRAGGLER_LEAST_US;
}

/* Whether a server counts for the share of ejected ones.  */
static bool
server_counts (const struct chs_server *server)
{
  return server->present && !server->draining;
}

/* By how many servers too many are ejected if MORE are added.  */
static uint32_t
ejected_excess (const struct chs *chs, uint32_t more)
{
  uint32_t present = 0;
  uint32_t ejected = more;
  uint32_t most;

  lst_each (node, &chs->servers)
    {
      const struct chs_server *server
          = lst_entry (node, struct chs_server, node);

      present += server_counts (server);
      ejected += server_counts (server) && server->ejected;
    }
  most = present * chs->opts.max_ejected_percent / 100;
  return ejected > most ? ejected - most : 0;
}

static void
server_eject (struct chs_server *server, clk_us now)
{
  server->ejected = true;
  server->ejected_at = now;
  server->probe_at = now + CHS_PROBE_EVERY;
  server->probe_picks = CHS_PROBE_ONE_IN;
  server->probes_good = 0;
}

/* Gives a server load again, a little at first.  Its averages start anew, so
   that one that is still slow is noticed soon.  */
static void
server_reinstate (struct chs_server *server, clk_us now)
{
  server->ejected = false;
  server->failures = 0;
  for (int cost = 0; cost < CHS_COSTS; cost++)
    spd_reset (&server->speed[cost], now);
  server->ramp_from = now;
  server->ramp = CHS_RAMP_REINSTATED;
}

static bool
server_bad (const struct chs *chs, const struct chs_server *server, clk_us now)
{
  return server->failures > CHS_FAILURES_MOST
         || server_slow (chs, server, MDL_SHORT, now)
         || server_slow (chs, server, MDL_LONG, now);
}

/* Takes ejected servers back while more are ejected than allowed, which
   happens after a change of members.  */
static void
chs_review_share (struct chs *chs, clk_us now)
{
  uint32_t excess = ejected_excess (chs, 0);

  lst_each (node, &chs->servers)
    {
      struct chs_server *server = lst_entry (node, struct chs_server, node);

      if (excess > 0 && server_counts (server) && server->ejected)
        {
          server_reinstate (server, now);
          excess--;
        }
    }
}

/* Ejects servers that are much worse than the others.  */
static void
chs_review (struct chs *chs, clk_us now)
{
  if (now < chs->reviewed_at + CHS_REVIEW_US)
    return;
  chs->reviewed_at = now;
  chs_review_share (chs, now);
  lst_each (node, &chs->servers)
    {
      struct chs_server *server = lst_entry (node, struct chs_server, node);

      if (server_counts (server) && !server->ejected
          && server_bad (chs, server, now) && ejected_excess (chs, 1) == 0)
        server_eject (server, now);
    }
}

static bool
query_tried (const struct chs_query *query, const struct chs_server *server)
{
  for (uint32_t i = 0; i < query->tried_count; i++)
    if (query->tried[i] == server)
      return true;
  return false;
}

/* Fresh admission level of a server, 0 when there is none.  */
static uint8_t
server_level (const struct chs_server *server, clk_us now)
{
  bool fresh
      = server->level_at != 0 && now <= server->level_at + CHS_LEVEL_FRESH;

  return fresh ? server->level.importance : 0;
}

/* Whether the server would refuse this importance, as far as is known.  */
static bool
server_sheds (const struct chs_server *server, uint8_t importance, clk_us now)
{
  return server_level (server, now) > importance;
}

/* What keeps a server out of the choice, best first.  */
enum standing
{
  STANDING_GOOD,
  STANDING_SHEDS,
  STANDING_EJECTED,
  STANDING_TRIED,
  STANDING_COUNT,
  STANDING_OUT = STANDING_COUNT,
};

static enum standing
server_standing (const struct chs_server *server,
                 const struct chs_query *query, clk_us now)
{
  if (!server->present || server->draining)
    return STANDING_OUT;
  if (query_tried (query, server))
    return STANDING_TRIED;
  if (server->ejected)
    return STANDING_EJECTED;
  if (server_sheds (server, query->importance, now))
    return STANDING_SHEDS;
  return STANDING_GOOD;
}

/* Fills OUT with the servers of the best standing, which is returned.  */
static enum standing
candidates_collect (const struct chs *chs, const struct chs_query *query,
                    struct candidates *out, clk_us now)
{
  enum standing best = STANDING_OUT;

  out->count = 0;
  lst_each (node, &chs->servers)
    {
      struct chs_server *server = lst_entry (node, struct chs_server, node);
      enum standing standing = server_standing (server, query, now);

      if (standing == STANDING_OUT || standing > best)
        continue;
      if (standing < best)
        out->count = 0;
      best = standing;
      out->servers[out->count++] = server;
    }
  return best;
}

/* An ejected server whose probe is due, or NULL.  */
static struct chs_server *
probe_due (const struct chs *chs, const struct chs_query *query, clk_us now)
{
  lst_each (node, &chs->servers)
    {
      struct chs_server *server = lst_entry (node, struct chs_server, node);

      if (!server->ejected
          || server_standing (server, query, now) != STANDING_EJECTED)
        continue;
      if (server->probe_picks > 0)
        server->probe_picks--;
      if (now < server->probe_at
          || (server->probe_picks > 0
              && now < server->probe_at + CHS_PROBE_LATEST))
        continue;
      server->probe_at = now + CHS_PROBE_EVERY;
      server->probe_picks = CHS_PROBE_ONE_IN;
      return server;
    }
  return NULL;
}

/* Expected time of one more request, in relation to the other servers.  */
static double
server_score (const struct chs_server *server, enum mdl_cost cost,
              double usual_us, clk_us now)
{
  double latency = spd_estimate (&server->speed[cost], now);

  if (latency <= 0)
    latency = usual_us;
  return (server->in_flight + 1) * (latency + 1) / server->slots;
}

/* Draws one of the candidates other than EXCEPT, a ramping one less often. */
static struct chs_server *
candidate_draw (const struct candidates *all, const struct chs_server *except,
                struct rng *rng, clk_us now)
{
  struct chs_server *server = NULL;

  for (int draw = 0; draw < CHS_RAMP_DRAWS; draw++)
    {
      uint32_t at = rng_below (rng, all->count);

      server = all->servers[at];
      if (server == except)
        server = all->servers[(at + 1) % all->count];
      if (rng_unit (rng) < chs_weight (server, now))
        break;
    }
  return server;
}

/* Power of two random choices.  The admission level goes before the score:
   an overloaded server refuses at once what is less important, so that fewer
   requests are in flight there than at a server that lets them wait.  */
static struct chs_server *
candidate_choose (const struct chs *chs, const struct candidates *all,
                  enum mdl_cost cost, struct rng *rng, clk_us now)
{
  struct chs_server *a;
  struct chs_server *b;
  double usual;
  double score_a;
  double score_b;

  if (all->count == 1)
    return all->servers[0];
  a = candidate_draw (all, NULL, rng, now);
  b = candidate_draw (all, a, rng, now);
  if (server_level (a, now) != server_level (b, now))
    return server_level (a, now) < server_level (b, now) ? a : b;
  usual = spd_usual (&chs->latencies[cost]);
  score_a = server_score (a, cost, usual, now);
  score_b = server_score (b, cost, usual, now);
  if (score_a < score_b * CHS_EQUAL && score_b < score_a * CHS_EQUAL)
    {
      bool own_a = strcmp (a->failure_domain, chs->opts.failure_domain) == 0;
      bool own_b = strcmp (b->failure_domain, chs->opts.failure_domain) == 0;

      if (own_a != own_b)
        return own_a ? a : b;
    }
  return score_a <= score_b ? a : b;
}

/* Load of a server as last told, with what this node has sent since; an old
   report counts as an empty server.  */
static double
server_load (const struct chs_server *server, clk_us now)
{
  double own = (double)server->in_flight / server->slots;

  if (server->load_at == 0 || now > server->load_at + CHS_LOAD_FRESH)
    return own;
  return server->load > own ? server->load : own;
}

/* Expected time of one more request: its run, which takes longer at a server
   that is nearly full, and the wait for a slot.  */
static double
server_expected (const struct chs_server *server, enum mdl_cost cost,
                 double usual_us, clk_us now)
{
  double load = server_load (server, now);
  double ran = server->ran_us[cost] > 0 ? server->ran_us[cost] : usual_us;
  double wait = 0;

  if (load > CHS_LOAD_FULL)
    ran *= 1 + (load - CHS_LOAD_FULL);
  if (cost == MDL_SHORT && now <= server->load_at + CHS_LOAD_FRESH)
    wait = (double)server->wait;
  else if (load > 1)
    wait = (load - 1) * ran;
  return (ran + wait) / chs_weight (server, now);
}

/* Whether the domain of SERVER is this node's own.  */
static bool
server_near (const struct chs *chs, const struct chs_server *server)
{
  return strcmp (server->failure_domain, chs->opts.failure_domain) == 0;
}

/* Mean time of a run over the servers where it is known.  */
static double
candidates_usual (const struct candidates *all, enum mdl_cost cost)
{
  double sum = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < all->count; i++)
    if (all->servers[i]->ran_us[cost] > 0)
      {
        sum += all->servers[i]->ran_us[cost];
        count++;
      }
  return count > 0 ? sum / count : 0;
}

/* The server with the least expected time.  Noise keeps nodes that see the
   same reports from choosing the same one.  */
static struct chs_server *
candidate_fastest (const struct chs *chs, const struct candidates *all,
                   const struct chs_query *query, struct rng *rng, clk_us now)
{
  struct chs_server *best = NULL;
  double usual = candidates_usual (all, query->cost);
  double least = 0;

  for (uint32_t i = 0; i < all->count; i++)
    {
      struct chs_server *server = all->servers[i];
      double expected = server_expected (server, query->cost, usual, now) + 1;

      expected *= 1 + rng_unit (rng) * CHS_NOISE;
      if (!server_near (chs, server))
        expected *= 1 + query->near_gain;
      if (best != NULL && expected >= least)
        continue;
      best = server;
      least = expected;
    }
  return best;
}

void
chs_note_load (struct chs_server *server, double load, clk_us wait, clk_us now)
{
  server->load = load;
  server->wait = wait;
  server->load_at = now;
}

void
chs_note_run (struct chs_server *server, enum mdl_cost cost, clk_us ran)
{
  double *average = &server->ran_us[cost];

  if (*average <= 0)
    *average = (double)ran;
  else
    *average += ((double)ran - *average) * CHS_RUN_GAIN;
}

struct chs_choice
chs_pick (struct chs *chs, const struct chs_query *query, struct rng *rng,
          clk_us now)
{
  struct chs_choice choice = { .kind = CHS_NONE };
  struct candidates all;
  enum standing standing;

  chs_review (chs, now);
  standing = candidates_collect (chs, query, &all, now);
  if (standing == STANDING_OUT)
    return choice;
  if (standing == STANDING_SHEDS && rng_below (rng, CHS_REFRESH_ONE_IN) != 0)
    {
      choice.kind = CHS_SHED;
      return choice;
    }
  choice.kind = CHS_SERVER;
  choice.server = query->tried_count == 0 ? probe_due (chs, query, now) : NULL;
  if (choice.server == NULL && chs->opts.by_time)
    choice.server = candidate_fastest (chs, &all, query, rng, now);
  if (choice.server == NULL)
    choice.server = candidate_choose (chs, &all, query->cost, rng, now);
  return choice;
}

void
chs_start (struct chs *chs, struct chs_server *server, clk_us now)
{
  (void)chs;
  (void)now;
  server->in_flight++;
  server->users++;
}

void
chs_watch (struct chs_server *server, struct chs_watch *watch,
           enum mdl_cost cost, clk_us now)
{
  INVARIANT (watch->server == NULL);
  watch->server = server;
  watch->cost = cost;
  spd_begin (&server->speed[cost], now);
}

void
chs_unwatch (struct chs_watch *watch, clk_us now)
{
  if (watch->server == NULL)
    return;
  spd_end (&watch->server->speed[watch->cost], now);
  watch->server = NULL;
}

/* An ejected server answered a probe or an earlier attempt.  */
static void
probe_answered (struct chs *chs, struct chs_server *server, enum mdl_cost cost,
                clk_us latency, clk_us now)
{
  double median = median_of_others (chs, server, cost);

  if (now < server->ejected_at + latency)
    return; /* started before the ejection */
  if (median > 0 && (double)latency > median * CHS_PROBE_FAST
      && (double)latency > median + CHS_STRAGGLER_LEAST_US)
    {
      server->probes_good = 0;
      return;
    }
  server->probes_good++;
  if (server->probes_good >= CHS_PROBES_GOOD)
    server_reinstate (server, now);
}

static void
server_answered (struct chs *chs, struct chs_server *server,
                 enum mdl_cost cost, clk_us latency, clk_us now)
{
  server->failures -= server->failures * CHS_FAILURE_GAIN;
  spd_answer (&server->speed[cost], latency, now);
  spd_histogram_add (&chs->latencies[cost], latency);
  if (server->ejected)
    probe_answered (chs, server, cost, latency, now);
}

void
chs_done (struct chs *chs, struct chs_server *server, enum chs_result result,
          enum mdl_cost cost, clk_us latency, const struct adm_level *level,
          clk_us now)
{
  INVARIANT (server->in_flight > 0 && server->users > 0);
  server->in_flight--;
  server->users--;
  if (level != NULL)
    {
      server->level = *level;
      server->level_at = now;
    }
  switch (result)
    {
    case CHS_ANSWERED:
      server_answered (chs, server, cost, latency, now);
      break;
    case CHS_FAILED:
      server->failures += (1 - server->failures) * CHS_FAILURE_GAIN;
      server->probes_good = 0;
      break;
    case CHS_REFUSED:
    case CHS_NO_BLAME:
      break;
    }
  chs_review (chs, now);
}

/* Whether requests wait at most of the servers.  A second attempt would then
   take a slot from another request.  */
static bool
servers_busy (const struct chs *chs)
{
  uint32_t present = 0;
  uint32_t busy = 0;

  lst_each (node, &chs->servers)
    {
      const struct chs_server *server
          = lst_entry (node, struct chs_server, node);

      present += server_counts (server);
      busy += server_counts (server) && server->level.wait_us > 0
              && chs->reviewed_at <= server->level_at + CHS_LEVEL_FRESH;
    }
  return busy * 2 > present;
}

clk_us
chs_hedge_delay (const struct chs *chs, enum mdl_cost cost)
{
  if (servers_busy (chs))
    return 0;
  return spd_quantile (&chs->latencies[cost], 0.95);
}

const struct lst *
chs_servers (const struct chs *chs)
{
  return &chs->servers;
}
