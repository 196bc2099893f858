#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "filters/chain.h"
#include "filters/retry.h"
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
  struct flt_state state;
  struct flt_service service;
  struct flt_request request;
};

/* A node with one server of "orders" and a request that is to be filtered. */
static void
set_up (struct fixture *fixture, const char *method)
{
  struct adm_opts admission = { .slots = 2, .queue = 2 };
  struct shr_opts callers = { 0 };
  struct qrt_opts marks = { .keep = clk_s (60), .most = 16 };
  struct rty_table_opts chains = { .most = 16, .keep = clk_s (60) };
  struct chs_opts servers = { .max_ejected_percent = 34 };
  struct chs_server seen = {
    .instance = "n2", .address = "127.0.0.1:1", .present = true, .slots = 2
  };
  struct flt_state *state = &fixture->state;
  struct flt_request *request = &fixture->request;

  memset (fixture, 0, sizeof *fixture);
  CU_ASSERT_EQUAL_FATAL (
      doc_parse (document, strlen (document), NULL, NULL, &state->model),
      SR_OK);
  lst_init (&state->services);
  state->admission = adm_new (&admission);
  state->callers = shr_new (&callers);
  state->marks = qrt_new (&marks);
  state->chains = rty_table_new (&chains);
  state->hops = hop_table_new ();
  state->backend_up = true;
  strcpy (state->backend_service, "orders");
  rng_seed (&state->rng, 7);
  strcpy (fixture->service.name, "orders");
  fixture->service.servers = chs_new (&servers);
  chs_update (fixture->service.servers, &seen, 0);
  rty_budget_init (&fixture->service.budget, 100, 0);
  lst_push_tail (&state->services, &fixture->service.node);
  strcpy (request->service_name, "orders");
  request->method = method;
  request->path = "/orders";
  request->caller = "c1";
  request->key = "";
  request->trace = "";
  request->body_whole = true;
}

static void
tear_down (struct fixture *fixture)
{
  flt_release (&fixture->state, &fixture->request, 0);
  chs_free (fixture->service.servers);
  adm_free (fixture->state.admission);
  shr_free (fixture->state.callers);
  qrt_free (fixture->state.marks);
  rty_table_free (fixture->state.chains);
  hop_table_free (fixture->state.hops);
  mdl_unref (fixture->state.model);
}

static struct flt_result
run_call (struct fixture *fixture, clk_us now)
{
  flt_start (&fixture->request, flt_call_chain);
  return flt_run (&fixture->state, &fixture->request, now);
}

/* Guards against running a non-idempotent request that no claim protects.  */
static void
test_key_is_required (void)
{
  struct fixture fixture;
  struct flt_result result;

  set_up (&fixture, "POST");
  result = run_call (&fixture, 10);
  CU_ASSERT_EQUAL (result.kind, FLT_REFUSE);
  CU_ASSERT_EQUAL (result.u.refuse.reason, RSN_KEY_REQUIRED);
  CU_ASSERT_EQUAL (result.u.refuse.run, RSN_NOT_RUN);
  tear_down (&fixture);
}

/* Guards against equal keys for different child calls of one chain, and
   different keys for the same one.  */
static void
test_derived_key (void)
{
  struct fixture fixture;
  char first[MSG_KEY_BYTES];

  set_up (&fixture, "POST");
  strcpy (fixture.request.chain_key, "entry");
  CU_ASSERT_EQUAL (run_call (&fixture, 10).kind, FLT_CONTINUE);
  strcpy (first, fixture.request.claim_key);
  fixture.request.claim_key[0] = '\0';
  CU_ASSERT_EQUAL (flt_key (&fixture.request).kind, FLT_CONTINUE);
  CU_ASSERT_STRING_EQUAL (fixture.request.claim_key, first);
  fixture.request.body_hash = 1;
  CU_ASSERT_EQUAL (flt_key (&fixture.request).kind, FLT_CONTINUE);
  CU_ASSERT_STRING_NOT_EQUAL (fixture.request.claim_key, first);
  tear_down (&fixture);
}

/* Guards against a caller that grants itself retries with a forged hop, and
   against a second allowance after a restart of the node.  */
static void
test_unknown_hop_has_no_allowance (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  fixture.request.has_hop = true;
  fixture.request.trace = "t1";
  CU_ASSERT_EQUAL (run_call (&fixture, 10).kind, FLT_CONTINUE);
  CU_ASSERT_EQUAL (fixture.request.allowance->remaining, 0);
  CU_ASSERT_EQUAL (fixture.request.importance, 20);
  tear_down (&fixture);
}

/* Guards against a child call with rights that its chain does not have.  */
static void
test_child_inherits (void)
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
  CU_ASSERT_EQUAL (run_call (&fixture, 10).kind, FLT_CONTINUE);
  CU_ASSERT_EQUAL (fixture.request.importance, 90);
  CU_ASSERT_EQUAL (fixture.request.deadline, 300);
  CU_ASSERT_PTR_EQUAL (fixture.request.allowance, &hop->allowance);
  CU_ASSERT_EQUAL (fixture.request.depth, 1);
  flt_release (&fixture.state, &fixture.request, 10);
  hop_end (fixture.state.hops, hop, 20);
  CU_ASSERT_EQUAL (run_call (&fixture, 30).u.refuse.reason, RSN_PARENT_ENDED);
  tear_down (&fixture);
}

/* Guards against resends of one caller's request getting one allowance each.
 */
static void
test_resends_share_allowance (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  fixture.request.key = "k1";
  CU_ASSERT_EQUAL (run_call (&fixture, 10).kind, FLT_CONTINUE);
  CU_ASSERT_TRUE (rty_take (fixture.request.allowance));
  flt_release (&fixture.state, &fixture.request, 20);
  CU_ASSERT_EQUAL (run_call (&fixture, 30).kind, FLT_CONTINUE);
  CU_ASSERT_EQUAL (fixture.request.allowance->remaining,
                   fixture.state.model->chain_allowance - 1);
  tear_down (&fixture);
}

/* Guards against a second run of a request that may have run.  */
static void
test_retry_only_when_safe (void)
{
  struct fixture fixture;
  struct flt_failure lost
      = { .reason = RSN_BACKEND_CLOSED, .run = RSN_UNKNOWN };
  struct flt_failure refused
      = { .reason = RSN_QUEUE_FULL, .run = RSN_NOT_RUN };

  set_up (&fixture, "POST");
  fixture.request.key = "k1";
  CU_ASSERT_EQUAL (run_call (&fixture, 10).kind, FLT_CONTINUE);
  CU_ASSERT_EQUAL (
      flt_retry (&fixture.state, &fixture.request, &lost, 20).kind,
      FLT_GIVE_UP);
  CU_ASSERT_EQUAL (
      flt_retry (&fixture.state, &fixture.request, &refused, 20).kind,
      FLT_RETRY);
  CU_ASSERT_FALSE (flt_may_hedge (&fixture.state, &fixture.request, 20));
  tear_down (&fixture);
}

/* Guards against retries beyond the chain's allowance.  */
static void
test_retry_is_bounded (void)
{
  struct fixture fixture;
  struct flt_failure refused = { .reason = RSN_DRAINING, .run = RSN_NOT_RUN };
  uint32_t retries = 0;

  set_up (&fixture, "GET");
  CU_ASSERT_EQUAL (run_call (&fixture, 10).kind, FLT_CONTINUE);
  while (flt_retry (&fixture.state, &fixture.request, &refused, 20).kind
         == FLT_RETRY)
    retries++;
  CU_ASSERT_EQUAL (retries, fixture.state.model->chain_allowance);
  tear_down (&fixture);
}

/* Guards against dispatching before the claim is granted, and against a wrong
   run state for each result of a claim.  */
static void
test_claim_results (void)
{
  static const struct
  {
    enum flt_claim claim;
    enum flt_result_kind kind;
    enum rsn_run run;
  } rows[] = {
    { FLT_CLAIM_ASKED, FLT_WAIT, RSN_NOT_RUN },
    { FLT_CLAIM_GRANTED, FLT_CONTINUE, RSN_NOT_RUN },
    { FLT_CLAIM_DONE, FLT_ANSWER, RSN_NOT_RUN },
    { FLT_CLAIM_UNKNOWN, FLT_REFUSE, RSN_UNKNOWN },
    { FLT_CLAIM_NOT_KEPT, FLT_REFUSE, RSN_UNKNOWN },
    { FLT_CLAIM_UNAVAILABLE, FLT_REFUSE, RSN_NOT_RUN },
    { FLT_CLAIM_FULL, FLT_REFUSE, RSN_NOT_RUN },
  };
  struct fixture fixture;

  set_up (&fixture, "POST");
  fixture.request.deadline = 1000;
  flt_start (&fixture.request, flt_serve_chain);
  CU_ASSERT_EQUAL (flt_run (&fixture.state, &fixture.request, 10).kind,
                   FLT_WAIT);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct flt_result result;

      fixture.request.claim = rows[i].claim;
      result = flt_claim (&fixture.request);
      CU_ASSERT_EQUAL (result.kind, rows[i].kind);
      if (result.kind == FLT_REFUSE)
        CU_ASSERT_EQUAL (result.u.refuse.run, rows[i].run);
    }
  tear_down (&fixture);
}

/* Guards against new work at a server that leaves or is gone.  */
static void
test_no_work_while_draining (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  fixture.request.deadline = 1000;
  fixture.state.draining = true;
  flt_start (&fixture.request, flt_serve_chain);
  CU_ASSERT_EQUAL (
      flt_run (&fixture.state, &fixture.request, 10).u.refuse.reason,
      RSN_DRAINING);
  fixture.state.draining = false;
  fixture.state.backend_up = false;
  flt_start (&fixture.request, flt_serve_chain);
  CU_ASSERT_EQUAL (
      flt_run (&fixture.state, &fixture.request, 10).u.refuse.reason,
      RSN_NO_BACKEND);
  tear_down (&fixture);
}

/* Guards against a request that has crashed two servers running on a third. */
static void
test_quarantine (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  CU_ASSERT_EQUAL (run_call (&fixture, 10).kind, FLT_CONTINUE);
  qrt_add (fixture.state.marks, fixture.request.fingerprint, "n2", 11);
  CU_ASSERT_EQUAL (run_call (&fixture, 12).kind, FLT_CONTINUE);
  qrt_add (fixture.state.marks, fixture.request.fingerprint, "n3", 13);
  CU_ASSERT_EQUAL (run_call (&fixture, 14).u.refuse.reason, RSN_QUARANTINED);
  tear_down (&fixture);
}

/* Guards against stopping an innocent request, because it met the one that
   crashes servers twice.  */
static void
test_suspects_run_alone (void)
{
  struct fixture fixture;

  set_up (&fixture, "GET");
  fixture.request.deadline = 1000;
  fixture.request.suspect = true;
  fixture.state.suspects_running = 1;
  flt_start (&fixture.request, flt_serve_chain);
  CU_ASSERT_EQUAL (
      flt_run (&fixture.state, &fixture.request, 10).u.refuse.reason,
      RSN_SUSPECT_RUNNING);
  fixture.state.suspects_running = 0;
  flt_start (&fixture.request, flt_serve_chain);
  CU_ASSERT_EQUAL (flt_run (&fixture.state, &fixture.request, 10).kind,
                   FLT_CONTINUE);
  CU_ASSERT_EQUAL (fixture.state.suspects_running, 1);
  adm_finish (fixture.state.admission, &fixture.request.ticket, true, 20);
  flt_release (&fixture.state, &fixture.request, 20);
  CU_ASSERT_EQUAL (fixture.state.suspects_running, 0);
  tear_down (&fixture);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "key is required", test_key_is_required },
          { "derived key", test_derived_key },
          { "unknown hop", test_unknown_hop_has_no_allowance },
          { "child inherits", test_child_inherits },
          { "resends share allowance", test_resends_share_allowance },
          { "retry only when safe", test_retry_only_when_safe },
          { "retry is bounded", test_retry_is_bounded },
          { "claim results", test_claim_results },
          { "no work while draining", test_no_work_while_draining },
          { "quarantine", test_quarantine },
          { "suspects run alone", test_suspects_run_alone },
          { NULL, NULL } };

  return suite_run ("filters", tests);
}
