#include "core/err.h"
#include "tasks/control.h"
#include "tests/suite.h"

#define STOP_MAX_US clk_s (3)

/* Returns the number of replies to operators with HTTP_STATUS in the inbox
   FRONT.  */
static uint32_t
count_replies (struct inbox *front, int http_status)
{
  struct list messages;
  struct list_node *node;
  uint32_t count = 0;

  list_init (&messages);
  inbox_drain (front, &messages);
  while ((node = list_pop_head (&messages)) != NULL)
    {
      struct msg *msg = list_entry (node, struct msg, node);

      count += msg->kind == MSG_ADMIN_REPLY
               && msg->u.admin_reply.http_status == http_status;
      msg_free (msg);
    }
  return count;
}

/* Guards against requests of operators that are left without an answer because
   the node stops while they are pending.  */
static void
test_stop_answers_operators (void)
{
  struct inbox_opts inbox = { .wake = INBOX_WAKE_CONDITION };
  struct inbox *front = inbox_new (&inbox);
  struct inbox *peer = inbox_new (&inbox);
  struct control_opts opts = { .instance = "n-1",
                               .failure_domain = "a",
                               .address = "127.0.0.1:1",
                               .join = "127.0.0.2:1",
                               .front = front };
  struct control *control = control_new (&opts);
  clk_us start = clk_now ();

  CU_ASSERT_PTR_NOT_NULL_FATAL (control);
  control_attach (control, peer, NULL);
  CU_ASSERT_EQUAL_FATAL (control_start (control), SR_OK);
  for (uint64_t i = 1; i <= 3; i++)
    {
      struct msg *msg = msg_new (MSG_ADMIN);

      msg->u.admin.op = MSG_ADMIN_GET;
      msg->u.admin.request_id = i;
      inbox_put (control_inbox (control), msg);
    }
  inbox_put (control_inbox (control), msg_new (MSG_STOP));
  CU_ASSERT_EQUAL (control_join (control), 0);
  control_free (control);
  CU_ASSERT_TRUE (clk_now () - start < STOP_MAX_US);
  CU_ASSERT_EQUAL (count_replies (front, 503), 3);
  inbox_free (front);
  inbox_free (peer);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "stop answers pending operator requests",
            test_stop_answers_operators },
          { NULL, NULL } };

  return suite_run ("control", tests);
}
