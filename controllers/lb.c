#include "controllers/lb.h"

#include <stdlib.h>
#include <string.h>

#include "controllers/latency.h"
#include "core/err.h"

/* Servers that one pick looks at; a service has 1,100 / 120 on average.  */
#define LB_SERVERS_MAX 256u
#define LB_RAMP_COLD clk_s (10)
#define LB_RAMP_REINSTATED clk_s (5)
/* Share of load at the start of a ramp.  */
#define LB_RAMP_LEAST 0.1
/* An admission level older than this is ignored.  */
#define LB_LEVEL_FRESH clk_ms (500)
/* One request in this many passes to refresh the levels.  */
#define LB_REFRESH_ONE_IN 50u
/* A straggler is this much slower than the median of the others.  */
#define LB_STRAGGLER 3.0
/* Differences below this are jitter of scheduling, not slowness.  */
#define LB_STRAGGLER_LEAST_US 1000.0
#define LB_ANSWERS_LEAST 5u
#define LB_FAILURES_MOST 0.5
#define LB_FAILURE_GAIN 0.15
/* Probes: at most one in this many picks, and not more often than the
   interval, unless the last one is very long ago.  */
#define LB_PROBE_ONE_IN 200u
#define LB_PROBE_EVERY clk_ms (250)
#define LB_PROBE_LATEST clk_s (5)
#define LB_PROBES_GOOD 3u
#define LB_PROBE_FAST 2.0
/* Ejection is reviewed at most this often.  */
#define LB_REVIEW_US clk_ms (5)
/* Scores within this factor are equal; the own failure domain decides.  */
#define LB_EQUAL 1.2
/* A report of load counts for this long.  */
#define LB_LOAD_FRESH clk_ms (400)
/* Load from which on a server slows down.  */
#define LB_LOAD_FULL 0.85
#define LB_RUN_GAIN 0.1
/* Random part of an expected time.  */
#define LB_NOISE 0.15
/* Draws to find a server that its ramp lets through.  */
#define LB_RAMP_DRAWS 4

struct lb
{
  struct lb_opts opts;
  struct list servers;
  uint32_t count;
  clk_us reviewed_at;
  struct latency_histogram latencies[LB_COSTS];
};

/* Servers that a pick may choose from.  */
struct candidates
{
  uint32_t count;
  struct lb_server *servers[LB_SERVERS_MAX];
};

struct lb *
lb_new (const struct lb_opts *opts)
{
  struct lb *lb = calloc (1, sizeof *lb);

  if (lb == NULL)
    return NULL;
  lb->opts = *opts;
  list_init (&lb->servers);
  return lb;
}

void
lb_free (struct lb *lb)
{
  if (lb == NULL)
    return;
  list_each (node, &lb->servers)
    {
      list_remove (node);
      free (list_entry (node, struct lb_server, node));
    }
  free (lb);
}

void
lb_configure (struct lb *lb, const struct lb_opts *opts)
{
  lb->opts = *opts;
}

static struct lb_server *
server_find (struct lb *lb, const char *instance)
{
  list_each (node, &lb->servers)
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);

      if (strcmp (server->instance, instance) == 0)
        return server;
    }
  return NULL;
}

/* Forgets what was measured of an earlier incarnation.  */
static void
server_restart (struct lb_server *server, clk_us now)
{
  for (int cost = 0; cost < LB_COSTS; cost++)
    latency_reset (&server->speed[cost], now);
  memset (server->ran_us, 0, sizeof server->ran_us);
  server->load_at = 0;

  server->failures = 0;
  server->ejected = false;
  server->level_at = 0;
  server->joined = now;
  server->ramp_from = now;
  server->ramp = LB_RAMP_COLD;
}

int
lb_update (struct lb *lb, const struct lb_server *seen, clk_us now)
{
  struct lb_server *server = server_find (lb, seen->instance);

  if (server == NULL)
    {
      if (lb->count >= LB_SERVERS_MAX)
        return SR_EFULL;
      server = calloc (1, sizeof *server);
      if (server == NULL)
        return SR_ENOMEM;
      memcpy (server->instance, seen->instance, sizeof server->instance);
      list_push_tail (&lb->servers, &server->node);
      lb->count++;
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
lb_mark (struct lb *lb)
{
  list_each (node, &lb->servers)
    list_entry (node, struct lb_server, node)->present = false;
}

static void
server_drop_unused (struct lb *lb, struct lb_server *server)
{
  if (server->present || server->users > 0)
    return;
  list_remove (&server->node);
  lb->count--;
  free (server);
}

void
lb_sweep (struct lb *lb)
{
  list_each (node, &lb->servers)
    server_drop_unused (lb, list_entry (node, struct lb_server, node));
}

double
lb_weight (const struct lb_server *server, clk_us now)
{
  double share;

  if (server->ramp == 0 || now >= server->ramp_from + server->ramp)
    return 1;
  share = (double)(now - server->ramp_from) / (double)server->ramp;
  return share < LB_RAMP_LEAST ? LB_RAMP_LEAST : share;
}

/* Median speed of the servers other than EXCEPT that take part; 0 when no
   other one is known.  */
static double
median_of_others (const struct lb *lb, const struct lb_server *except,
                  enum model_cost cost)
{
  double values[LB_SERVERS_MAX];
  uint32_t count = 0;

  list_each (node, &lb->servers)
    {
      const struct lb_server *server
          = list_entry (node, struct lb_server, node);

      if (server != except && !server->ejected && server->present
          && server->speed[cost].answers >= LB_ANSWERS_LEAST)
        values[count++] = server->speed[cost].average_us;
    }
  return latency_median (values, count);
}

/* Whether SERVER answers this cost of work much more slowly than others.  */
static bool
server_slow (const struct lb *lb, const struct lb_server *server,
             enum model_cost cost, clk_us now)
{
  double average = latency_estimate (&server->speed[cost], now);
  double median;

  if (average <= LB_STRAGGLER_LEAST_US
      || server->speed[cost].answers < LB_ANSWERS_LEAST)
    return false;
  median = median_of_others (lb, server, cost);
  return median > 0 && average > LB_STRAGGLER * median
         && average > median + LB_STRAGGLER_LEAST_US;
}

/* Whether a server counts for the share of ejected ones.  */
static bool
server_counts (const struct lb_server *server)
{
  return server->present && !server->draining;
}

/* By how many servers too many are ejected if MORE are added.  */
static uint32_t
ejected_excess (const struct lb *lb, uint32_t more)
{
  uint32_t present = 0;
  uint32_t ejected = more;
  uint32_t most;

  list_each (node, &lb->servers)
    {
      const struct lb_server *server
          = list_entry (node, struct lb_server, node);

      present += server_counts (server);
      ejected += server_counts (server) && server->ejected;
    }
  most = present * lb->opts.max_ejected_percent / 100;
  return ejected > most ? ejected - most : 0;
}

static void
server_eject (struct lb_server *server, clk_us now)
{
  server->ejected = true;
  server->ejected_at = now;
  server->probe_at = now + LB_PROBE_EVERY;
  server->probe_picks = LB_PROBE_ONE_IN;
  server->probes_good = 0;
}

/* Gives a server load again, a little at first.  Its averages start anew, so
   that one that is still slow is noticed soon.  */
static void
server_reinstate (struct lb_server *server, clk_us now)
{
  server->ejected = false;
  server->failures = 0;
  for (int cost = 0; cost < LB_COSTS; cost++)
    latency_reset (&server->speed[cost], now);
  server->ramp_from = now;
  server->ramp = LB_RAMP_REINSTATED;
}

static bool
server_bad (const struct lb *lb, const struct lb_server *server, clk_us now)
{
  return server->failures > LB_FAILURES_MOST
         || server_slow (lb, server, MODEL_COST_SHORT, now)
         || server_slow (lb, server, MODEL_COST_LONG, now);
}

/* Takes ejected servers back while more are ejected than allowed, which
   happens after a change of members.  */
static void
lb_review_share (struct lb *lb, clk_us now)
{
  uint32_t excess = ejected_excess (lb, 0);

  list_each (node, &lb->servers)
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);

      if (excess > 0 && server_counts (server) && server->ejected)
        {
          server_reinstate (server, now);
          excess--;
        }
    }
}

/* Ejects servers that are much worse than the others.  */
static void
lb_review (struct lb *lb, clk_us now)
{
  if (now < lb->reviewed_at + LB_REVIEW_US)
    return;
  lb->reviewed_at = now;
  lb_review_share (lb, now);
  list_each (node, &lb->servers)
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);

      if (server_counts (server) && !server->ejected
          && server_bad (lb, server, now) && ejected_excess (lb, 1) == 0)
        server_eject (server, now);
    }
}

static bool
query_tried (const struct lb_query *query, const struct lb_server *server)
{
  for (uint32_t i = 0; i < query->tried_count; i++)
    if (query->tried[i] == server)
      return true;
  return false;
}

/* Fresh admission level of a server, 0 when there is none.  */
static uint8_t
server_level (const struct lb_server *server, clk_us now)
{
  bool fresh
      = server->level_at != 0 && now <= server->level_at + LB_LEVEL_FRESH;

  return fresh ? server->level.importance : 0;
}

/* Whether the server would refuse this importance, as far as is known.  */
static bool
server_sheds (const struct lb_server *server, uint8_t importance, clk_us now)
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
server_standing (const struct lb_server *server, const struct lb_query *query,
                 clk_us now)
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
candidates_collect (const struct lb *lb, const struct lb_query *query,
                    struct candidates *out, clk_us now)
{
  enum standing best = STANDING_OUT;

  out->count = 0;
  list_each (node, &lb->servers)
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);
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
static struct lb_server *
probe_due (const struct lb *lb, const struct lb_query *query, clk_us now)
{
  list_each (node, &lb->servers)
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);

      if (!server->ejected
          || server_standing (server, query, now) != STANDING_EJECTED)
        continue;
      if (server->probe_picks > 0)
        server->probe_picks--;
      if (now < server->probe_at
          || (server->probe_picks > 0
              && now < server->probe_at + LB_PROBE_LATEST))
        continue;
      server->probe_at = now + LB_PROBE_EVERY;
      server->probe_picks = LB_PROBE_ONE_IN;
      return server;
    }
  return NULL;
}

/* Expected time of one more request, in relation to the other servers.  */
static double
server_score (const struct lb_server *server, enum model_cost cost,
              double usual_us, clk_us now)
{
  double latency = latency_estimate (&server->speed[cost], now);

  if (latency <= 0)
    latency = usual_us;
  return (server->in_flight + 1) * (latency + 1) / server->slots;
}

/* Draws one of the candidates other than EXCEPT, a ramping one less often. */
static struct lb_server *
candidate_draw (const struct candidates *all, const struct lb_server *except,
                struct rng *rng, clk_us now)
{
  struct lb_server *server = NULL;

  for (int draw = 0; draw < LB_RAMP_DRAWS; draw++)
    {
      uint32_t at = rng_below (rng, all->count);

      server = all->servers[at];
      if (server == except)
        server = all->servers[(at + 1) % all->count];
      if (rng_uniform (rng) < lb_weight (server, now))
        break;
    }
  return server;
}

/* Power of two random choices.  The admission level goes before the score:
   an overloaded server refuses at once what is less important, so that fewer
   requests are in flight there than at a server that lets them wait.  */
static struct lb_server *
candidate_choose (const struct lb *lb, const struct candidates *all,
                  enum model_cost cost, struct rng *rng, clk_us now)
{
  struct lb_server *a;
  struct lb_server *b;
  double usual;
  double score_a;
  double score_b;

  if (all->count == 1)
    return all->servers[0];
  a = candidate_draw (all, NULL, rng, now);
  b = candidate_draw (all, a, rng, now);
  if (server_level (a, now) != server_level (b, now))
    return server_level (a, now) < server_level (b, now) ? a : b;
  usual = latency_usual (&lb->latencies[cost]);
  score_a = server_score (a, cost, usual, now);
  score_b = server_score (b, cost, usual, now);
  if (score_a < score_b * LB_EQUAL && score_b < score_a * LB_EQUAL)
    {
      bool own_a = strcmp (a->failure_domain, lb->opts.failure_domain) == 0;
      bool own_b = strcmp (b->failure_domain, lb->opts.failure_domain) == 0;

      if (own_a != own_b)
        return own_a ? a : b;
    }
  return score_a <= score_b ? a : b;
}

/* Load of a server as last told, with what this node has sent since; an old
   report counts as an empty server.  */
static double
server_load (const struct lb_server *server, clk_us now)
{
  double own = (double)server->in_flight / server->slots;

  if (server->load_at == 0 || now > server->load_at + LB_LOAD_FRESH)
    return own;
  return server->load > own ? server->load : own;
}

/* Expected time of one more request: its run, which takes longer at a server
   that is nearly full, and the wait for a slot.  */
static double
server_expected (const struct lb_server *server, enum model_cost cost,
                 double usual_us, clk_us now)
{
  double load = server_load (server, now);
  double ran = server->ran_us[cost] > 0 ? server->ran_us[cost] : usual_us;
  double wait = 0;

  if (load > LB_LOAD_FULL)
    ran *= 1 + (load - LB_LOAD_FULL);
  if (cost == MODEL_COST_SHORT && now <= server->load_at + LB_LOAD_FRESH)
    wait = (double)server->wait;
  else if (load > 1)
    wait = (load - 1) * ran;
  return (ran + wait) / lb_weight (server, now);
}

/* Whether the domain of SERVER is this node's own.  */
static bool
server_near (const struct lb *lb, const struct lb_server *server)
{
  return strcmp (server->failure_domain, lb->opts.failure_domain) == 0;
}

/* Mean time of a run over the servers where it is known.  */
static double
candidates_usual (const struct candidates *all, enum model_cost cost)
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
static struct lb_server *
candidate_fastest (const struct lb *lb, const struct candidates *all,
                   const struct lb_query *query, struct rng *rng, clk_us now)
{
  struct lb_server *best = NULL;
  double usual = candidates_usual (all, query->cost);
  double least = 0;

  for (uint32_t i = 0; i < all->count; i++)
    {
      struct lb_server *server = all->servers[i];
      double expected = server_expected (server, query->cost, usual, now) + 1;

      expected *= 1 + rng_uniform (rng) * LB_NOISE;
      if (!server_near (lb, server))
        expected *= 1 + query->near_gain;
      if (best != NULL && expected >= least)
        continue;
      best = server;
      least = expected;
    }
  return best;
}

void
lb_note_load (struct lb_server *server, double load, clk_us wait, clk_us now)
{
  server->load = load;
  server->wait = wait;
  server->load_at = now;
}

void
lb_note_run (struct lb_server *server, enum model_cost cost, clk_us ran)
{
  double *average = &server->ran_us[cost];

  if (*average <= 0)
    *average = (double)ran;
  else
    *average += ((double)ran - *average) * LB_RUN_GAIN;
}

struct lb_choice
lb_pick (struct lb *lb, const struct lb_query *query, struct rng *rng,
         clk_us now)
{
  struct lb_choice choice = { .kind = LB_NONE };
  struct candidates all;
  enum standing standing;

  lb_review (lb, now);
  standing = candidates_collect (lb, query, &all, now);
  if (standing == STANDING_OUT)
    return choice;
  if (standing == STANDING_SHEDS && rng_below (rng, LB_REFRESH_ONE_IN) != 0)
    {
      choice.kind = LB_SHED;
      return choice;
    }
  choice.kind = LB_SERVER;
  choice.server = query->tried_count == 0 ? probe_due (lb, query, now) : NULL;
  if (choice.server == NULL && lb->opts.by_time)
    choice.server = candidate_fastest (lb, &all, query, rng, now);
  if (choice.server == NULL)
    choice.server = candidate_choose (lb, &all, query->cost, rng, now);
  return choice;
}

void
lb_start (struct lb *lb, struct lb_server *server, clk_us now)
{
  (void)lb;
  (void)now;
  server->in_flight++;
  server->users++;
}

void
lb_watch (struct lb_server *server, struct lb_watch *watch,
          enum model_cost cost, clk_us now)
{
  INVARIANT (watch->server == NULL);
  watch->server = server;
  watch->cost = cost;
  latency_begin (&server->speed[cost], now);
}

void
lb_unwatch (struct lb_watch *watch, clk_us now)
{
  if (watch->server == NULL)
    return;
  latency_end (&watch->server->speed[watch->cost], now);
  watch->server = NULL;
}

/* An ejected server answered a probe or an earlier attempt.  */
static void
probe_answered (struct lb *lb, struct lb_server *server, enum model_cost cost,
                clk_us latency, clk_us now)
{
  double median = median_of_others (lb, server, cost);

  if (now < server->ejected_at + latency)
    return; /* started before the ejection */
  if (median > 0 && (double)latency > median * LB_PROBE_FAST
      && (double)latency > median + LB_STRAGGLER_LEAST_US)
    {
      server->probes_good = 0;
      return;
    }
  server->probes_good++;
  if (server->probes_good >= LB_PROBES_GOOD)
    server_reinstate (server, now);
}

static void
server_answered (struct lb *lb, struct lb_server *server, enum model_cost cost,
                 clk_us latency, clk_us now)
{
  server->failures -= server->failures * LB_FAILURE_GAIN;
  latency_answer (&server->speed[cost], latency, now);
  latency_histogram_add (&lb->latencies[cost], latency);
  if (server->ejected)
    probe_answered (lb, server, cost, latency, now);
}

void
lb_done (struct lb *lb, struct lb_server *server, enum lb_result result,
         enum model_cost cost, clk_us latency, const struct slots_level *level,
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
    case LB_ANSWERED:
      server_answered (lb, server, cost, latency, now);
      break;
    case LB_FAILED:
      server->failures += (1 - server->failures) * LB_FAILURE_GAIN;
      server->probes_good = 0;
      break;
    case LB_REFUSED:
    case LB_NO_BLAME:
      break;
    }
  lb_review (lb, now);
}

/* Whether requests wait at most of the servers.  A second attempt would then
   take a slot from another request.  */
static bool
servers_busy (const struct lb *lb)
{
  uint32_t present = 0;
  uint32_t busy = 0;

  list_each (node, &lb->servers)
    {
      const struct lb_server *server
          = list_entry (node, struct lb_server, node);

      present += server_counts (server);
      busy += server_counts (server) && server->level.wait_us > 0
              && lb->reviewed_at <= server->level_at + LB_LEVEL_FRESH;
    }
  return busy * 2 > present;
}

clk_us
lb_hedge_delay (const struct lb *lb, enum model_cost cost)
{
  if (servers_busy (lb))
    return 0;
  return latency_quantile (&lb->latencies[cost], 0.95);
}

const struct list *
lb_servers (const struct lb *lb)
{
  return &lb->servers;
}
