#include "controllers/lb.h"

#include <stdlib.h>
#include <string.h>

#include "controllers/latency.h"
#include "core/err.h"

/* Maximum number of servers of a service; with 1,100 servers and 120 services
   the average is nine.  */
#define LB_SERVERS_MAX 256u
/* Length of the slow start ramp of a new incarnation, and of the ramp after an
   ejection.  */
#define LB_RAMP_COLD_US clk_s (10)
#define LB_RAMP_REINSTATED_US clk_s (5)
/* Fraction of the load at the start of a ramp.  */
#define LB_RAMP_WEIGHT_MIN 0.1
/* An admission level is ignored when it is older than this.  */
#define LB_LEVEL_TTL_US clk_ms (500)
/* While all servers refuse an importance, one request in this many is sent to
   refresh the admission levels.  */
#define LB_REFRESH_ONE_IN 50u
/* A server is a latency outlier when its average exceeds the median of the
   others by this factor.  */
#define LB_OUTLIER_RATIO 3.0
/* Smaller differences are scheduling jitter.  */
#define LB_OUTLIER_MIN_US 1000.0
/* Answers before an average is compared.  */
#define LB_ANSWERS_MIN 5u
/* A server is ejected above this share of failed attempts, a moving average in
   which each attempt has the weight below.  */
#define LB_FAILURE_SHARE_MAX 0.5
#define LB_FAILURE_GAIN 0.15
/* An ejected server is probed at most once in this many picks and once in the
   interval, unless the last probe is longer ago than the maximum delay.  */
#define LB_PROBE_ONE_IN 200u
#define LB_PROBE_INTERVAL_US clk_ms (250)
#define LB_PROBE_DELAY_MAX_US clk_s (5)
/* A server is reinstated after this many consecutive probes whose latency is
   at most the ratio times the median of the others.  */
#define LB_PROBE_SUCCESSES_MIN 3u
#define LB_PROBE_LATENCY_RATIO 2.0
/* Interval at which ejections are reviewed.  */
#define LB_REVIEW_INTERVAL_US clk_ms (5)
/* Scores within this factor count as equal; the failure domain of the node
   decides then.  */
#define LB_SCORE_TOLERANCE 1.2
/* A reported load is ignored when it is older than this.  */
#define LB_LOAD_TTL_US clk_ms (400)
/* Load from which on the service time of a server grows.  */
#define LB_SLOWDOWN_LOAD 0.85
/* Weight of an answer in the moving average of the service time.  */
#define LB_SERVICE_TIME_GAIN 0.1
/* Attempts that are unanswered for longer show that a server has stopped
   answering; shorter times are waits for a slot.  */
#define LB_SILENCE_MIN_US clk_s (1)
/* Random fraction added to an expected time.  */
#define LB_JITTER 0.15
/* Maximum number of draws of a server.  A drawn server is accepted with the
   probability lb_ramp_weight(); the last one is accepted in any case.  */
#define LB_RAMP_DRAWS 4

struct lb
{
  struct lb_opts opts;
  struct list servers;
  uint32_t count;
  clk_us reviewed_at;
  struct latency_histogram latencies[LB_COSTS];
};

/* Servers among which a pick chooses.  */
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

/* Discards the measurements of an earlier incarnation.  */
static void
server_reset (struct lb_server *server, clk_us now)
{
  for (int cost = 0; cost < LB_COSTS; cost++)
    latency_reset (&server->latency[cost], now);
  memset (server->service_time_us, 0, sizeof server->service_time_us);
  server->load_at = 0;
  server->unheard_since = 0;

  server->failure_share = 0;
  server->ejected = false;
  server->level_at = 0;
  server->joined_at = now;
  server->ramp_start = now;
  server->ramp_duration = LB_RAMP_COLD_US;
}

int
lb_update (struct lb *lb, const struct lb_server *update, clk_us now)
{
  struct lb_server *server = server_find (lb, update->instance);

  if (server == NULL)
    {
      if (lb->count >= LB_SERVERS_MAX)
        return SR_EFULL;
      server = calloc (1, sizeof *server);
      if (server == NULL)
        return SR_ENOMEM;
      memcpy (server->instance, update->instance, sizeof server->instance);
      list_push_tail (&lb->servers, &server->node);
      lb->count++;
      server_reset (server, now);
    }
  else if (server->incarnation != update->incarnation)
    server_reset (server, now);
  memcpy (server->address, update->address, sizeof server->address);
  memcpy (server->failure_domain, update->failure_domain,
          sizeof server->failure_domain);
  server->incarnation = update->incarnation;
  server->local = update->local;
  server->draining = update->draining;
  server->slots = update->slots > 0 ? update->slots : 1;
  server->present = true;
  return SR_OK;
}

void
lb_mark_absent (struct lb *lb)
{
  list_each (node, &lb->servers)
    list_entry (node, struct lb_server, node)->present = false;
}

/* Frees a server that is absent and that no attempt holds.  */
static void
server_drop_unused (struct lb *lb, struct lb_server *server)
{
  if (server->present || server->refs > 0)
    return;
  list_remove (&server->node);
  lb->count--;
  free (server);
}

void
lb_remove_absent (struct lb *lb)
{
  list_each (node, &lb->servers)
    server_drop_unused (lb, list_entry (node, struct lb_server, node));
}

double
lb_ramp_weight (const struct lb_server *server, clk_us now)
{
  double weight;

  if (server->ramp_duration == 0
      || now >= server->ramp_start + server->ramp_duration)
    return 1;
  weight = (double)(now - server->ramp_start) / (double)server->ramp_duration;
  return weight < LB_RAMP_WEIGHT_MIN ? LB_RAMP_WEIGHT_MIN : weight;
}

/* Median latency of the servers other than EXCEPT that are not ejected; 0 when
   none is known.  */
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
          && server->latency[cost].answers >= LB_ANSWERS_MIN)
        values[count++] = server->latency[cost].average_us;
    }
  return latency_median (values, count);
}

/* Whether SERVER is a latency outlier for requests of this cost.  */
static bool
server_is_latency_outlier (const struct lb *lb, const struct lb_server *server,
                           enum model_cost cost, clk_us now)
{
  double average = latency_estimate (&server->latency[cost], now);
  double median;

  if (average <= LB_OUTLIER_MIN_US
      || server->latency[cost].answers < LB_ANSWERS_MIN)
    return false;
  median = median_of_others (lb, server, cost);
  return median > 0 && average > LB_OUTLIER_RATIO * median
         && average > median + LB_OUTLIER_MIN_US;
}

/* Whether a server can receive requests; others do not count in the share of
   ejected servers.  */
static bool
server_is_usable (const struct lb_server *server)
{
  return server->present && !server->draining;
}

/* Number of ejected servers above the allowed share if ADDITIONAL ones were
   ejected.  */
static uint32_t
ejected_excess (const struct lb *lb, uint32_t additional)
{
  uint32_t present = 0;
  uint32_t ejected = additional;
  uint32_t ejected_max;

  list_each (node, &lb->servers)
    {
      const struct lb_server *server
          = list_entry (node, struct lb_server, node);

      present += server_is_usable (server);
      ejected += server_is_usable (server) && server->ejected;
    }
  ejected_max = present * lb->opts.max_ejected_percent / 100;
  return ejected > ejected_max ? ejected - ejected_max : 0;
}

static void
server_eject (struct lb_server *server, clk_us now)
{
  server->ejected = true;
  server->ejected_at = now;
  server->probe_at = now + LB_PROBE_INTERVAL_US;
  server->probe_picks = LB_PROBE_ONE_IN;
  server->probe_successes = 0;
}

/* Ends an ejection and starts a ramp.  The averages are cleared, so that a
   server that is still slow is detected soon.  */
static void
server_reinstate (struct lb_server *server, clk_us now)
{
  server->ejected = false;
  server->failure_share = 0;
  for (int cost = 0; cost < LB_COSTS; cost++)
    latency_reset (&server->latency[cost], now);
  server->ramp_start = now;
  server->ramp_duration = LB_RAMP_REINSTATED_US;
}

static bool
server_should_eject (const struct lb *lb, const struct lb_server *server,
                     clk_us now)
{
  return server->failure_share > LB_FAILURE_SHARE_MAX
         || server_is_latency_outlier (lb, server, MODEL_COST_SHORT, now)
         || server_is_latency_outlier (lb, server, MODEL_COST_LONG, now);
}

/* Reinstates servers while more than the allowed share is ejected, which
   happens when membership changes.  */
static void
lb_reinstate_excess (struct lb *lb, clk_us now)
{
  uint32_t excess = ejected_excess (lb, 0);

  list_each (node, &lb->servers)
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);

      if (excess > 0 && server_is_usable (server) && server->ejected)
        {
          server_reinstate (server, now);
          excess--;
        }
    }
}

/* Ejects outliers, within the allowed share.  */
static void
lb_review_ejections (struct lb *lb, clk_us now)
{
  if (now < lb->reviewed_at + LB_REVIEW_INTERVAL_US)
    return;
  lb->reviewed_at = now;
  lb_reinstate_excess (lb, now);
  list_each (node, &lb->servers)
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);

      if (server_is_usable (server) && !server->ejected
          && server_should_eject (lb, server, now)
          && ejected_excess (lb, 1) == 0)
        server_eject (server, now);
    }
}

static bool
query_has_tried (const struct lb_query *query, const struct lb_server *server)
{
  for (uint32_t i = 0; i < query->tried_count; i++)
    if (query->tried[i] == server)
      return true;
  return false;
}

/* Lowest importance that the server admits, 0 when no recent level is
   known.  */
static uint8_t
server_level_importance (const struct lb_server *server, clk_us now)
{
  bool fresh
      = server->level_at != 0 && now <= server->level_at + LB_LEVEL_TTL_US;

  return fresh ? server->admission_level.importance_min : 0;
}

/* Whether the server is expected to refuse this importance.  */
static bool
server_sheds (const struct lb_server *server, uint8_t importance, clk_us now)
{
  return server_level_importance (server, now) > importance;
}

/* Preference of a server in a choice, best first.  */
enum server_rank
{
  SERVER_RANK_GOOD,
  SERVER_RANK_SHEDS, /* is expected to refuse the importance */
  SERVER_RANK_EJECTED,
  SERVER_RANK_TRIED, /* by an earlier attempt of the call */
  SERVER_RANK_COUNT,
  SERVER_RANK_EXCLUDED = SERVER_RANK_COUNT, /* absent or draining */
};

static enum server_rank
server_get_rank (const struct lb_server *server, const struct lb_query *query,
                 clk_us now)
{
  if (!server->present || server->draining)
    return SERVER_RANK_EXCLUDED;
  if (query_has_tried (query, server))
    return SERVER_RANK_TRIED;
  if (server->ejected)
    return SERVER_RANK_EJECTED;
  if (server_sheds (server, query->importance, now))
    return SERVER_RANK_SHEDS;
  return SERVER_RANK_GOOD;
}

/* Fills OUT with the servers of the best rank and returns the rank.  */
static enum server_rank
candidates_collect (const struct lb *lb, const struct lb_query *query,
                    struct candidates *out, clk_us now)
{
  enum server_rank best = SERVER_RANK_EXCLUDED;

  out->count = 0;
  list_each (node, &lb->servers)
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);
      enum server_rank rank = server_get_rank (server, query, now);

      if (rank == SERVER_RANK_EXCLUDED || rank > best)
        continue;
      if (rank < best)
        out->count = 0;
      best = rank;
      out->servers[out->count++] = server;
    }
  return best;
}

/* An ejected server for which a probe is due, or NULL.  */
static struct lb_server *
probe_pick_due (const struct lb *lb, const struct lb_query *query, clk_us now)
{
  list_each (node, &lb->servers)
    {
      struct lb_server *server = list_entry (node, struct lb_server, node);

      if (!server->ejected
          || server_get_rank (server, query, now) != SERVER_RANK_EJECTED)
        continue;
      if (server->probe_picks > 0)
        server->probe_picks--;
      if (now < server->probe_at
          || (server->probe_picks > 0
              && now < server->probe_at + LB_PROBE_DELAY_MAX_US))
        continue;
      server->probe_at = now + LB_PROBE_INTERVAL_US;
      server->probe_picks = LB_PROBE_ONE_IN;
      return server;
    }
  return NULL;
}

/* Score for comparing servers, lower is better: latency multiplied by requests
   in flight per slot, this request included.  */
static double
server_score (const struct lb_server *server, enum model_cost cost,
              double default_us, clk_us now)
{
  double latency = latency_estimate (&server->latency[cost], now);

  if (latency <= 0)
    latency = default_us;
  return (server->in_flight + 1) * (latency + 1) / server->slots;
}

/* Draws a random candidate other than EXCEPT; a ramping one is drawn less
   often.  */
static struct lb_server *
candidate_draw (const struct candidates *all, const struct lb_server *except,
                struct rng *rng, clk_us now)
{
  struct lb_server *server = NULL;

  for (int draw = 0; draw < LB_RAMP_DRAWS; draw++)
    {
      uint32_t index = rng_below (rng, all->count);

      server = all->servers[index];
      if (server == except)
        server = all->servers[(index + 1) % all->count];
      if (rng_uniform (rng) < lb_ramp_weight (server, now))
        break;
    }
  return server;
}

/* Power of two random choices.  The admission level is compared before the
   score: an overloaded server refuses less important requests at once, so that
   fewer requests are in flight there than at a server that queues them.  */
static struct lb_server *
candidate_choose_of_two (const struct lb *lb, const struct candidates *all,
                         enum model_cost cost, struct rng *rng, clk_us now)
{
  struct lb_server *a;
  struct lb_server *b;
  double default_us;
  double score_a;
  double score_b;

  if (all->count == 1)
    return all->servers[0];
  a = candidate_draw (all, NULL, rng, now);
  b = candidate_draw (all, a, rng, now);
  if (server_level_importance (a, now) != server_level_importance (b, now))
    return server_level_importance (a, now) < server_level_importance (b, now)
               ? a
               : b;
  default_us = latency_histogram_median (&lb->latencies[cost]);
  score_a = server_score (a, cost, default_us, now);
  score_b = server_score (b, cost, default_us, now);
  if (score_a < score_b * LB_SCORE_TOLERANCE
      && score_b < score_a * LB_SCORE_TOLERANCE)
    {
      bool local_a = strcmp (a->failure_domain, lb->opts.failure_domain) == 0;
      bool local_b = strcmp (b->failure_domain, lb->opts.failure_domain) == 0;

      if (local_a != local_b)
        return local_a ? a : b;
    }
  return score_a <= score_b ? a : b;
}

/* Load of a server in requests per slot: the reported load, but at least the
   requests that this node has in flight there.  An outdated report is
   ignored.  */
static double
server_load (const struct lb_server *server, clk_us now)
{
  double own_load = (double)server->in_flight / server->slots;

  if (server->load_at == 0 || now > server->load_at + LB_LOAD_TTL_US)
    return own_load;
  return server->load > own_load ? server->load : own_load;
}

/* Time for which attempts at the server have been unanswered; 0 while none is,
   or not for long.  */
static clk_us
server_silence (const struct lb_server *server, clk_us now)
{
  if (server->in_flight == 0 || server->unheard_since == 0
      || now <= server->unheard_since + LB_SILENCE_MIN_US)
    return 0;
  return now - server->unheard_since;
}

/* Expected time of one more request: its service time, which grows when the
   server is nearly full, and the wait for a slot.  A server that has stopped
   answering would look as fast as its last answers; its expected time is that
   for which it has been silent.  */
static double
server_expected_us (const struct lb_server *server, enum model_cost cost,
                    double default_us, clk_us now)
{
  double load = server_load (server, now);
  double service_time_us = server->service_time_us[cost] > 0
                               ? server->service_time_us[cost]
                               : default_us;
  double silence_us = (double)server_silence (server, now);
  double queue_wait_us = 0;
  double expected_us;

  if (load > LB_SLOWDOWN_LOAD)
    service_time_us *= 1 + (load - LB_SLOWDOWN_LOAD);
  if (cost == MODEL_COST_SHORT && now <= server->load_at + LB_LOAD_TTL_US)
    queue_wait_us = (double)server->queue_wait;
  else if (load > 1)
    queue_wait_us = (load - 1) * service_time_us;
  expected_us = service_time_us + queue_wait_us;
  if (silence_us > expected_us)
    expected_us = silence_us;
  return expected_us / lb_ramp_weight (server, now);
}

/* Whether SERVER is in the failure domain of this node.  */
static bool
server_is_same_domain (const struct lb *lb, const struct lb_server *server)
{
  return strcmp (server->failure_domain, lb->opts.failure_domain) == 0;
}

/* Mean service time over the candidates for which it is known; 0 for none.  */
static double
candidates_mean_service_time_us (const struct candidates *all,
                                 enum model_cost cost)
{
  double sum = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < all->count; i++)
    if (all->servers[i]->service_time_us[cost] > 0)
      {
        sum += all->servers[i]->service_time_us[cost];
        count++;
      }
  return count > 0 ? sum / count : 0;
}

/* The candidate with the lowest expected time.  Random jitter keeps nodes with
   the same reports from all choosing the same server.  */
static struct lb_server *
candidate_fastest (const struct lb *lb, const struct candidates *all,
                   const struct lb_query *query, struct rng *rng, clk_us now)
{
  struct lb_server *best = NULL;
  double default_us = candidates_mean_service_time_us (all, query->cost);
  double expected_min = 0;

  for (uint32_t i = 0; i < all->count; i++)
    {
      struct lb_server *server = all->servers[i];
      double expected
          = server_expected_us (server, query->cost, default_us, now) + 1;

      expected *= 1 + rng_uniform (rng) * LB_JITTER;
      if (!server_is_same_domain (lb, server))
        expected *= 1 + query->cross_domain_penalty;
      if (best != NULL && expected >= expected_min)
        continue;
      best = server;
      expected_min = expected;
    }
  return best;
}

void
lb_record_load (struct lb_server *server, double load, clk_us queue_wait,
                clk_us now)
{
  server->load = load;
  server->queue_wait = queue_wait;
  server->load_at = now;
  server->unheard_since = 0;
}

void
lb_record_service_time (struct lb_server *server, enum model_cost cost,
                        clk_us service_time)
{
  double *average = &server->service_time_us[cost];

  if (*average <= 0)
    *average = (double)service_time;
  else
    *average += ((double)service_time - *average) * LB_SERVICE_TIME_GAIN;
}

struct lb_choice
lb_pick (struct lb *lb, const struct lb_query *query, struct rng *rng,
         clk_us now)
{
  struct lb_choice choice = { .kind = LB_NONE };
  struct candidates all;
  enum server_rank rank;

  lb_review_ejections (lb, now);
  rank = candidates_collect (lb, query, &all, now);
  if (rank == SERVER_RANK_EXCLUDED)
    return choice;
  if (rank == SERVER_RANK_SHEDS && rng_below (rng, LB_REFRESH_ONE_IN) != 0)
    {
      choice.kind = LB_SHED;
      return choice;
    }
  choice.kind = LB_SERVER;
  choice.server
      = query->tried_count == 0 ? probe_pick_due (lb, query, now) : NULL;
  if (choice.server == NULL && lb->opts.by_expected_time)
    choice.server = candidate_fastest (lb, &all, query, rng, now);
  if (choice.server == NULL)
    choice.server = candidate_choose_of_two (lb, &all, query->cost, rng, now);
  return choice;
}

void
lb_attempt_start (struct lb *lb, struct lb_server *server, clk_us now)
{
  (void)lb;
  if (server->unheard_since == 0)
    server->unheard_since = now;
  server->in_flight++;
  server->refs++;
}

void
lb_watch_start (struct lb_server *server, struct lb_watch *watch,
                enum model_cost cost, clk_us now)
{
  INVARIANT (watch->server == NULL);
  watch->server = server;
  watch->cost = cost;
  latency_begin (&server->latency[cost], now);
}

void
lb_watch_end (struct lb_watch *watch, clk_us now)
{
  if (watch->server == NULL)
    return;
  latency_end (&watch->server->latency[watch->cost], now);
  watch->server = NULL;
}

/* Handles an answer of an ejected server to a probe.  */
static void
probe_record_answer (struct lb *lb, struct lb_server *server,
                     enum model_cost cost, clk_us latency, clk_us now)
{
  double median = median_of_others (lb, server, cost);

  if (now < server->ejected_at + latency)
    return; /* the attempt started before the ejection */
  if (median > 0 && (double)latency > median * LB_PROBE_LATENCY_RATIO
      && (double)latency > median + LB_OUTLIER_MIN_US)
    {
      server->probe_successes = 0;
      return;
    }
  server->probe_successes++;
  if (server->probe_successes >= LB_PROBE_SUCCESSES_MIN)
    server_reinstate (server, now);
}

static void
server_record_answer (struct lb *lb, struct lb_server *server,
                      enum model_cost cost, clk_us latency, clk_us now)
{
  server->failure_share -= server->failure_share * LB_FAILURE_GAIN;
  latency_record (&server->latency[cost], latency, now);
  latency_histogram_add (&lb->latencies[cost], latency);
  if (server->ejected)
    probe_record_answer (lb, server, cost, latency, now);
}

void
lb_attempt_end (struct lb *lb, struct lb_server *server, enum lb_result result,
                enum model_cost cost, clk_us latency,
                const struct slots_level *admission_level, clk_us now)
{
  INVARIANT (server->in_flight > 0 && server->refs > 0);
  server->in_flight--;
  server->refs--;
  if (admission_level != NULL)
    {
      server->admission_level = *admission_level;
      server->level_at = now;
    }
  switch (result)
    {
    case LB_ANSWERED:
      server_record_answer (lb, server, cost, latency, now);
      break;
    case LB_FAILED:
      server->failure_share += (1 - server->failure_share) * LB_FAILURE_GAIN;
      server->probe_successes = 0;
      break;
    case LB_REFUSED:
    case LB_IGNORED:
      break;
    }
  lb_review_ejections (lb, now);
}

/* Whether requests queue at most of the servers.  A hedge would then take a
   slot from another request.  */
static bool
most_servers_have_queues (const struct lb *lb)
{
  uint32_t present = 0;
  uint32_t busy = 0;

  list_each (node, &lb->servers)
    {
      const struct lb_server *server
          = list_entry (node, struct lb_server, node);

      present += server_is_usable (server);
      busy += server_is_usable (server) && server->admission_level.wait_us > 0
              && lb->reviewed_at <= server->level_at + LB_LEVEL_TTL_US;
    }
  return busy * 2 > present;
}

clk_us
lb_hedge_delay (const struct lb *lb, enum model_cost cost)
{
  if (most_servers_have_queues (lb))
    return 0;
  return latency_histogram_quantile (&lb->latencies[cost], 0.95);
}

const struct list *
lb_servers (const struct lb *lb)
{
  return &lb->servers;
}
