#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "filters/filter.h"
#include "filters/retry_policy.h"
#include "tests/suite.h"
#include "wire/doc.h"

static const char document[]
    = "{\"format\":1,\"services\":[{\"name\":\"orders\",\"slots\":2,"
      "\"connections\":4,\"queue\":2,\"kinds\":["
      "{\"name\":\"place\",\"method\":\"POST\",\"path\":\"/orders\","
      "\"importance\":90,\"idempotent\":false,\"timeout_ms\":1000},"
      "{\"name\":\"look\",\"method\":\"GET\",\"path\":\"/\","
      "\"importance\":20,\"idempotent\":true,\"timeout_ms\":500,"
      "\"retries\":2}]}]}";

struct fixture
{
  struct filter_state state;
  struct filter_service service;
  struct filter_request request;
};

/* Sets up a node with one server of the service "orders", and a request for
   the filters.  */
static void
set_up (struct fixture *fixture, const char *method)
{
  struct slots_opts slots = { .slots = 2, .queue_max = 2 };
  struct share_opts shares = { 0 };
  struct quarantine_opts quarantine
      = { .duration = clk_s (60), .fingerprints_max = 16 };
  struct retry_table_opts retry_table
      = { .chains_max = 16, .retention = clk_s (60) };
  struct lb_opts lb = { .max_ejected_percent = 34 };
  struct lb_server server = {
    .instance = "n2", .address = "127.0.0.1:1", .present = true, .slots = 2
  };
  struct filter_state *state = &fixture->state;
  struct filter_request *request = &fixture->request;

  memset (fixture, 0, sizeof *fixture);
  CU_ASSERT_EQUAL_FATAL (
      doc_parse (document, strlen (document), NULL, NULL, &state->model),
      SR_OK);
  list_init (&state->services);
  state->slots = slots_new (&slots);
  state->caller_shares = share_new (&shares);
  state->suspects.marks = quarantine_new (&quarantine);
  state->call_chains = retry_table_new (&retry_table);
  state->hops = hop_table_new ();
  state->backend_up = true;
  strcpy (state->backend_service, "orders");
  rng_seed (&state->rng, 7);
  strcpy (fixture->service.name, "orders");
  fixture->service.servers = lb_new (&lb);
  lb_update (fixture->service.servers, &server, 0);
  retry_budget_init (&fixture->service.budget, 100, 0);
  list_push_tail (&state->services, &fixture->service.node);
  strcpy (request->service_name, "orders");
  request->method = method;
  request->path = "/orders";
  request->caller = "c1";
  request->key = "";
  request->trace = "";
  request->body_complete = true;
}

static void
tear_down (struct fixture *fixture)
{
  filter_release (&fixture->state, &fixture->request, 0);
  lb_free (fixture->service.servers);
  slots_free (fixture->state.slots);
  share_free (fixture->state.caller_shares);
  quarantine_free (fixture->state.suspects.marks);
  retry_table_free (fixture->state.call_chains);
  hop_table_free (fixture->state.hops);
  model_unref (fixture->state.model);
}

static struct filter_result
run_call_chain (struct fixture *fixture, clk_us now)
{
  filter_start_chain (&fixture->request, filter_call_chain);
  return filter_run_chain (&fixture->state, &fixture->request, now);
}

/* A non-idempotent request without an idempotency key must be refused, because
   no claim protects it from a second run.  */
static void
test_key_is_required (void)
{
  struct fixture fixture;
  struct filter_result result;

  set_up (&fixture, "POST");
  result = run_call_chain (&fixture, 10);
  CU_ASSERT_EQUAL (result.kind, FILTER_REFUSE);
  CU_ASSERT_EQUAL (result.u.refuse.reason, REASON_KEY_REQUIRED);
  CU_ASSERT_EQUAL (result.u.refuse.run, REASON_NOT_RUN);
  tear_down (&fixture);
}

/* The derived key of a child call must be the same for a repeated call, so
   that it does not run again, and different for another call of the same
   chain, so that it does run.  */
static void
test_derived_key (void)
{
  struct fixture fixture;
  char first[MSG_KEY_BYTES];

  set_up (&fixture, "POST");
  strcpy (fixture.request.chain_key, "entry");
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 10).kind, FILTER_CONTINUE);
  strcpy (first, fixture.request.claim_key);
  fixture.request.claim_key[0] = '\0';
  CU_ASSERT_EQUAL (filter_key (&fixture.request).kind, FILTER_CONTINUE);
  CU_ASSERT_STRING_EQUAL (fixture.request.claim_key, first);
  fixture.request.body_hash = 1;
  CU_ASSERT_EQUAL (filter_key (&fixture.request).kind, FILTER_CONTINUE);
  CU_ASSERT_STRING_NOT_EQUAL (fixture.request.claim_key, first);
  tear_down (&fixture);
}

/* A hop id that the node does not know is forged, or was issued before the
   node restarted.  Such a request must get no retries: a caller could give
   itself an allowance, or a chain would get a second one.  */
static void
test_unknown_hop (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  fixture.request.has_hop = true;
  fixture.request.trace = "t1";
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 10).kind, FILTER_CONTINUE);
  CU_ASSERT_EQUAL (fixture.request.allowance->remaining, 0);
  CU_ASSERT_EQUAL (fixture.request.importance, 20);
  tear_down (&fixture);
}

/* A child call must inherit importance, deadline and retry allowance from its
   parent.  When the parent has ended, the call must be refused.  */
static void
test_child_inherits_from_parent (void)
{
  struct fixture fixture;
  struct hop *hop;

  set_up (&fixture, "GET");
  hop = hop_open (fixture.state.hops);
  hop->importance = 90;
  hop->deadline = 300;
  hop->allowance.remaining = 1;
  fixture.request.has_hop = true;
  memcpy (fixture.request.hop_id, hop->id, sizeof hop->id);
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 10).kind, FILTER_CONTINUE);
  CU_ASSERT_EQUAL (fixture.request.importance, 90);
  CU_ASSERT_EQUAL (fixture.request.deadline, 300);
  CU_ASSERT_PTR_EQUAL (fixture.request.allowance, &hop->allowance);
  CU_ASSERT_EQUAL (fixture.request.depth, 1);
  filter_release (&fixture.state, &fixture.request, 10);
  hop_end (fixture.state.hops, hop, 20);
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 30).u.refuse.reason,
                   REASON_PARENT_ENDED);
  tear_down (&fixture);
}

/* Resends of one request by a caller must share one retry allowance, or each
   resend would bring retries of its own.  */
static void
test_resends_share_allowance (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  fixture.request.key = "k1";
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 10).kind, FILTER_CONTINUE);
  CU_ASSERT_TRUE (retry_allowance_take (fixture.request.allowance));
  filter_release (&fixture.state, &fixture.request, 20);
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 30).kind, FILTER_CONTINUE);
  CU_ASSERT_EQUAL (fixture.request.allowance->remaining,
                   fixture.state.model->chain_allowance - 1);
  tear_down (&fixture);
}

/* A non-idempotent request that may have run must be neither retried nor
   hedged.  One that has not run must be retried.  */
static void
test_retry_only_when_safe (void)
{
  struct fixture fixture;
  struct filter_failure lost
      = { .reason = REASON_BACKEND_CLOSED, .run = REASON_RUN_UNKNOWN };
  struct filter_failure refused
      = { .reason = REASON_QUEUE_FULL, .run = REASON_NOT_RUN };

  set_up (&fixture, "POST");
  fixture.request.key = "k1";
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 10).kind, FILTER_CONTINUE);
  CU_ASSERT_EQUAL (
      filter_decide_retry (&fixture.state, &fixture.request, &lost, 20).kind,
      FILTER_GIVE_UP);
  CU_ASSERT_EQUAL (
      filter_decide_retry (&fixture.state, &fixture.request, &refused, 20)
          .kind,
      FILTER_RETRY);
  CU_ASSERT_FALSE (filter_try_hedge (&fixture.state, &fixture.request, 20));
  tear_down (&fixture);
}

/* A call must not be retried more often than the allowance of its chain
   permits.  */
static void
test_retry_is_bounded (void)
{
  struct fixture fixture;
  struct filter_failure refused
      = { .reason = REASON_DRAINING, .run = REASON_NOT_RUN };
  uint32_t retries = 0;

  set_up (&fixture, "GET");
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 10).kind, FILTER_CONTINUE);
  while (
      filter_decide_retry (&fixture.state, &fixture.request, &refused, 20).kind
      == FILTER_RETRY)
    retries++;
  CU_ASSERT_EQUAL (retries, fixture.state.model->chain_allowance);
  tear_down (&fixture);
}

/* A request must not be dispatched before its claim is granted, and each
   result of a claim must report correctly whether the request has run.  */
static void
test_claim_results (void)
{
  static const struct
  {
    enum filter_claim_state claim;
    enum filter_result_kind kind;
    enum reason_run run;
  } rows[] = {
    { FILTER_CLAIM_PENDING, FILTER_WAIT, REASON_NOT_RUN },
    { FILTER_CLAIM_GRANTED, FILTER_CONTINUE, REASON_NOT_RUN },
    { FILTER_CLAIM_DONE, FILTER_ANSWER, REASON_NOT_RUN },
    { FILTER_CLAIM_UNKNOWN, FILTER_REFUSE, REASON_RUN_UNKNOWN },
    { FILTER_CLAIM_NOT_KEPT, FILTER_REFUSE, REASON_RUN_UNKNOWN },
    { FILTER_CLAIM_UNAVAILABLE, FILTER_REFUSE, REASON_NOT_RUN },
    { FILTER_CLAIM_FULL, FILTER_REFUSE, REASON_NOT_RUN },
  };
  struct fixture fixture;

  set_up (&fixture, "POST");
  fixture.request.deadline = 1000;
  filter_start_chain (&fixture.request, filter_serve_chain);
  CU_ASSERT_EQUAL (
      filter_run_chain (&fixture.state, &fixture.request, 10).kind,
      FILTER_WAIT);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct filter_result result;

      fixture.request.claim_state = rows[i].claim;
      result = filter_claim (&fixture.request);
      CU_ASSERT_EQUAL (result.kind, rows[i].kind);
      if (result.kind == FILTER_REFUSE)
        CU_ASSERT_EQUAL (result.u.refuse.run, rows[i].run);
    }
  tear_down (&fixture);
}

/* New requests must not be passed to a backend server that is draining or
   unavailable.  */
static void
test_unavailable_server (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  fixture.request.deadline = 1000;
  fixture.state.draining = true;
  filter_start_chain (&fixture.request, filter_serve_chain);
  CU_ASSERT_EQUAL (
      filter_run_chain (&fixture.state, &fixture.request, 10).u.refuse.reason,
      REASON_DRAINING);
  fixture.state.draining = false;
  fixture.state.backend_up = false;
  filter_start_chain (&fixture.request, filter_serve_chain);
  CU_ASSERT_EQUAL (
      filter_run_chain (&fixture.state, &fixture.request, 10).u.refuse.reason,
      REASON_NO_BACKEND);
  tear_down (&fixture);
}

/* A request that was in flight when two different servers crashed must not run
   at a third one.  */
static void
test_quarantine (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 10).kind, FILTER_CONTINUE);
  quarantine_add_mark (fixture.state.suspects.marks,
                       fixture.request.fingerprint, "n2", 11);
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 12).kind, FILTER_CONTINUE);
  quarantine_add_mark (fixture.state.suspects.marks,
                       fixture.request.fingerprint, "n3", 13);
  CU_ASSERT_EQUAL (run_call_chain (&fixture, 14).u.refuse.reason,
                   REASON_QUARANTINED);
  tear_down (&fixture);
}

/* When a server crashes, all requests in flight there become suspect.  Only
   one suspect request may run at a server at a time; otherwise a harmless one
   that ran beside the cause of two crashes would be quarantined with it.  */
static void
test_one_suspect_at_a_time (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  fixture.request.deadline = 1000;
  fixture.request.suspect = true;
  fixture.state.suspects.running = 1;
  filter_start_chain (&fixture.request, filter_serve_chain);
  CU_ASSERT_EQUAL (
      filter_run_chain (&fixture.state, &fixture.request, 10).u.refuse.reason,
      REASON_SUSPECT_RUNNING);
  fixture.state.suspects.running = 0;
  filter_start_chain (&fixture.request, filter_serve_chain);
  CU_ASSERT_EQUAL (
      filter_run_chain (&fixture.state, &fixture.request, 10).kind,
      FILTER_CONTINUE);
  CU_ASSERT_EQUAL (fixture.state.suspects.running, 1);
  slots_finish (fixture.state.slots, &fixture.request.ticket, true, 20);
  filter_release (&fixture.state, &fixture.request, 20);
  CU_ASSERT_EQUAL (fixture.state.suspects.running, 0);
  tear_down (&fixture);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "non-idempotent request needs a key", test_key_is_required },
          { "derived key of a child call", test_derived_key },
          { "no allowance for an unknown hop", test_unknown_hop },
          { "child call inherits from its parent",
            test_child_inherits_from_parent },
          { "resends share one allowance", test_resends_share_allowance },
          { "no retry after a possible run", test_retry_only_when_safe },
          { "retries within the allowance", test_retry_is_bounded },
          { "claim results", test_claim_results },
          { "no request for an unavailable server", test_unavailable_server },
          { "quarantine after two crashes", test_quarantine },
          { "one suspect request at a time", test_one_suspect_at_a_time },
          { NULL, NULL } };

  return suite_run ("filters", tests);
}
