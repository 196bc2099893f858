#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sycamorerudder.h"
#include "tests/suite.h"
#include "wire/console.h"
#include "wire/doc.h"
#include "wire/urlform.h"

#define DOCUMENT_BYTES 65536

static char *
read_file (const char *path)
{
  FILE *file = fopen (path, "r");
  char *text = calloc (1, DOCUMENT_BYTES);

  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  CU_ASSERT_TRUE (fread (text, 1, DOCUMENT_BYTES - 1, file) > 0);
  fclose (file);
  return text;
}

/* Writes text of a page as part of an encoded form.  */
static void
encode (FILE *out, const char *text, size_t len)
{
  static const struct
  {
    const char *entity;
    char c;
  } rows[] = { { "&amp;", '&' },
               { "&lt;", '<' },
               { "&gt;", '>' },
               { "&quot;", '"' },
               { "&#39;", '\'' } };

  for (size_t i = 0; i < len; i++)
    {
      unsigned char c = (unsigned char)text[i];

      for (size_t k = 0; k < sizeof rows / sizeof rows[0]; k++)
        if (strncmp (text + i, rows[k].entity, strlen (rows[k].entity)) == 0)
          {
            c = (unsigned char)rows[k].c;
            i += strlen (rows[k].entity) - 1;
            break;
          }
      fprintf (out, "%%%02X", c);
    }
}

/* Writes the value of attribute NAME of the tag at TAG, if it has one.  */
static void
encode_attribute (FILE *out, const char *tag, const char *name)
{
  const char *end = strchr (tag, '>');
  const char *at = strstr (tag, name);

  if (at == NULL || at > end)
    return;
  at += strlen (name);
  encode (out, at, strcspn (at, "\""));
}

/* What a browser sends for the first form of PAGE when the button ACTION is
   pressed.  */
static char *
fill_in (const char *page, const char *action)
{
  char *body = NULL;
  size_t size;
  FILE *out = open_memstream (&body, &size);

  fprintf (out, "action=%s", action);
  for (const char *at = strchr (page, '<'); at != NULL;
       at = strchr (at + 1, '<'))
    {
      const char *chosen;

      if (strncmp (at, "<input", 6) != 0 && strncmp (at, "<select", 7) != 0
          && strncmp (at, "<textarea", 9) != 0)
        continue;
      fputc ('&', out);
      encode_attribute (out, at, " name=\"");
      fputc ('=', out);
      chosen = at;
      if (at[1] == 's')
        chosen = strstr (at, " selected>");
      while (at[1] == 's' && strncmp (chosen, "<option", 7) != 0)
        chosen--;
      if (at[1] == 't')
        encode (out, strchr (at, '>') + 2,
                strcspn (strchr (at, '>') + 2, "<"));
      else
        encode_attribute (out, chosen, " value=\"");
    }
  fclose (out);
  return body;
}

static struct console_response
show (uint64_t version, const char *document)
{
  struct console_request request = { .kind = CONSOLE_SHOW };
  struct console_response response;

  request.current.version = version;
  request.current.document = document;
  request.current.len = strlen (document);
  CU_ASSERT_EQUAL_FATAL (console_page (&request, &response), SR_OK);
  CU_ASSERT_EQUAL_FATAL (response.kind, CONSOLE_PAGE);
  return response;
}

static struct console_response
submit (const char *in_force, const char *body)
{
  struct console_request request
      = { .kind = CONSOLE_SUBMIT, .new_change_id = "fresh-1" };
  struct console_response response;

  request.current.version = 3;
  request.current.document = in_force;
  request.current.len = strlen (in_force);
  request.u.submit.body = body;
  request.u.submit.len = strlen (body);
  CU_ASSERT_EQUAL_FATAL (console_page (&request, &response), SR_OK);
  return response;
}

/* Guards against a form that loses or changes a field of the document.  */
static void
test_round_trip (void)
{
  static const char *const paths[]
      = { "examples/taquari.json", "examples/fes.json" };

  for (size_t i = 0; i < 2; i++)
    {
      char *document = read_file (paths[i]);
      char *canonical = doc_canonical (document, strlen (document));
      struct console_response page = show (3, document);
      char *body = fill_in (page.u.page.html, "download");
      struct console_response file = submit (document, body);

      CU_ASSERT_EQUAL_FATAL (file.kind, CONSOLE_DOWNLOAD);
      file.u.download.document[file.u.download.len - 1] = '\0';
      CU_ASSERT_STRING_EQUAL (file.u.download.document, canonical);
      console_response_free (&page);
      console_response_free (&file);
      free (body);
      free (canonical);
      free (document);
    }
}

/* Guards against a fault that is not shown, and tied for a screen reader, at
   its field, and against the wrong value being lost.  */
static void
test_fault_at_field (void)
{
  static const char body[]
      = "action=review&base=3&headers=host&services[0].name=s"
        "&services[0].kinds[1].importance=a+lot";
  static const char *const parts[] = {
    "<input type=\"text\" inputmode=\"numeric\" "
    "id=\"services-0--kinds-1--importance\" "
    "name=\"services[0].kinds[1].importance\" "
    "aria-describedby=\"services-0--kinds-1--importance-help "
    "services-0--kinds-1--importance-fault\" aria-invalid=\"true\" "
    "aria-required=\"true\" value=\"a lot\">",
    "<label for=\"services-0--kinds-1--importance\">",
    "id=\"services-0--kinds-1--importance-fault\">&quot;a lot&quot; is not "
    "allowed; allowed: a whole number from 0 to 100<",
    "id=\"headers-fault\">&quot;host&quot; is not allowed",
    "<a href=\"#services-0--slots\">services[0].slots</a>: missing",
  };
  struct console_response page = submit ("", body);

  CU_ASSERT_EQUAL_FATAL (page.kind, CONSOLE_PAGE);
  CU_ASSERT_EQUAL (page.u.page.status, 400);
  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    CU_ASSERT_PTR_NOT_NULL (strstr (page.u.page.html, parts[i]));
  console_response_free (&page);
}

/* Guards against names that turn into markup on any of the pages.  */
static void
test_escaping (void)
{
  static const char *const bodies[]
      = { "action=review&base=%22%3E%3Cb%3E&services[0].name=%3C/legend%3E"
          "%3Cb%3E%22%27&services[0].kinds[0].method=%22%3E%3Cb%3E&"
          "headers=%3C/textarea%3E%3Cb%3E",
          "action=edit&base=3&document={\"services\":[{\"name\":\"<b>\","
          "\"<b>\":1}]}",
          "action=review&base=3&document={\"<b>\":\"\\\"><b>\"}",
          "action=apply&base=3&change_id=<b>" };

  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    {
      struct console_response page = submit ("", bodies[i]);

      CU_ASSERT_EQUAL_FATAL (page.kind, CONSOLE_PAGE);
      CU_ASSERT_PTR_NULL (strstr (page.u.page.html, "<b>"));
      console_response_free (&page);
    }
}

/* Guards against buttons that change another part of the document.  */
static void
test_add_and_remove (void)
{
  static const struct
  {
    const char *action;
    const char *shown;
    const char *gone;
  } rows[] = {
    { "add-service", "name=\"services[4].kinds[0].name\"", "services[5]" },
    { "add-kind:2", "name=\"services[2].kinds[2].name\"", "kinds[3]" },
    { "remove-service:0", "value=\"orders\"", "value=\"stock\"" },
    { "remove-kind:2.0", "value=\"cancel-reservation\"",
      "value=\"reserve-coil\"" },
    { "remove-kind:9.9", "value=\"reserve-coil\"", "services[4]" },
  };
  char *document = read_file ("examples/taquari.json");
  struct console_response page = show (3, document);

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      char *body = fill_in (page.u.page.html, rows[i].action);
      struct console_response next = submit (document, body);

      CU_ASSERT_EQUAL_FATAL (next.kind, CONSOLE_PAGE);
      CU_ASSERT_PTR_NOT_NULL (strstr (next.u.page.html, rows[i].shown));
      CU_ASSERT_PTR_NULL (strstr (next.u.page.html, rows[i].gone));
      console_response_free (&next);
      free (body);
    }
  console_response_free (&page);
  free (document);
}

/* Guards against a review that hides a change which was accepted since the
   form was opened.  */
static void
test_stale_review (void)
{
  char *document = read_file ("examples/fes.json");
  struct console_response form = show (2, document);
  char *body = fill_in (form.u.page.html, "review");
  struct console_response review = submit (document, body);

  CU_ASSERT_EQUAL_FATAL (review.kind, CONSOLE_PAGE);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (review.u.page.html, "Version 3 is in force by now"));
  console_response_free (&form);
  console_response_free (&review);
  free (body);
  free (document);
}

/* Guards against a review without the difference, and against a second
   sending that carries another change id or document.  */
static void
test_review_and_apply (void)
{
  char *document = read_file ("examples/fes.json");
  struct console_response form = show (3, document);
  char *slots = strstr (form.u.page.html, "value=\"35\"");
  char *body;
  struct console_response review;

  slots[8] = '6';
  body = fill_in (form.u.page.html, "review");
  review = submit (document, body);
  free (body);
  CU_ASSERT_EQUAL_FATAL (review.kind, CONSOLE_PAGE);
  CU_ASSERT_PTR_NOT_NULL (strstr (review.u.page.html, "\n-      &quot;slots&"
                                                      "quot;: 35\n+"));
  body = fill_in (review.u.page.html, "apply");
  for (int i = 0; i < 2; i++)
    {
      struct console_response apply = submit (document, body);

      CU_ASSERT_EQUAL_FATAL (apply.kind, CONSOLE_APPLY);
      CU_ASSERT_EQUAL (apply.u.apply.base, 3);
      CU_ASSERT_STRING_EQUAL (apply.u.apply.change_id, "fresh-1");
      CU_ASSERT_EQUAL (apply.u.apply.len, strlen (apply.u.apply.document));
      CU_ASSERT_PTR_NOT_NULL (strstr (apply.u.apply.document, "\"slots\":36"));
      console_response_free (&apply);
    }
  console_response_free (&form);
  console_response_free (&review);
  free (body);
  free (document);
}

/* Guards against a page after a lost response whose change cannot be sent
   again as it was, and a conflict that looks like success.  */
static void
test_results (void)
{
  char *document = read_file ("examples/fes.json");
  struct console_change change = { .base = 3, .change_id = "c-9" };
  struct console_request request = { .kind = CONSOLE_RESULT };
  struct console_response page;
  struct console_response apply;
  char *body;

  change.document = document;
  change.len = strlen (document);
  request.u.result.change = &change;
  request.u.result.outcome = CONSOLE_UNAVAILABLE;
  CU_ASSERT_EQUAL_FATAL (console_page (&request, &page), SR_OK);
  CU_ASSERT_EQUAL (page.u.page.status, 503);
  body = fill_in (page.u.page.html, "apply");
  apply = submit ("", body);
  CU_ASSERT_EQUAL_FATAL (apply.kind, CONSOLE_APPLY);
  CU_ASSERT_STRING_EQUAL (apply.u.apply.change_id, "c-9");
  console_response_free (&apply);
  console_response_free (&page);
  free (body);
  request.u.result.outcome = CONSOLE_CONFLICT;
  request.u.result.version = 5;
  CU_ASSERT_EQUAL_FATAL (console_page (&request, &page), SR_OK);
  CU_ASSERT_EQUAL (page.u.page.status, 409);
  CU_ASSERT_PTR_NOT_NULL (strstr (page.u.page.html, "Version 5 is in force"));
  console_response_free (&page);
  free (document);
}

/* Guards against a form that another site sends through a browser.  */
static void
test_same_origin (void)
{
  CU_ASSERT_TRUE (console_same_origin (NULL, "127.0.0.1:7070"));
  CU_ASSERT_TRUE (
      console_same_origin ("http://127.0.0.1:7070", "127.0.0.1:7070"));
  CU_ASSERT_TRUE (
      console_same_origin ("http://localhost:7070", "localhost:7070"));
  CU_ASSERT_TRUE (console_same_origin ("http://[::1]:7070", "[::1]:7070"));
  CU_ASSERT_FALSE (
      console_same_origin ("http://evil.example", "127.0.0.1:7070"));
  CU_ASSERT_FALSE (console_same_origin ("null", "127.0.0.1:7070"));
  CU_ASSERT_FALSE (console_same_origin ("http://evil.test", "evil.test"));
  CU_ASSERT_FALSE (console_same_origin (NULL, "localhost.evil.test"));
  CU_ASSERT_FALSE (console_same_origin ("http://abc", "abc"));
  CU_ASSERT_FALSE (console_same_origin (NULL, NULL));
}

/* Guards against encoded forms that are cut off or hold control bytes.  */
static void
test_urlform (void)
{
  static const char body[] = "a=1&&b&c=%41%0%zz%&d+e=x%00y&a=2&=";
  struct urlform form;

  CU_ASSERT_EQUAL (urlform_parse (&form, body, strlen (body)), SR_OK);
  CU_ASSERT_STRING_EQUAL (urlform_get (&form, "a"), "1");
  CU_ASSERT_STRING_EQUAL (urlform_get (&form, "b"), "");
  CU_ASSERT_STRING_EQUAL (urlform_get (&form, "c"), "A%0%zz%");
  CU_ASSERT_STRING_EQUAL (urlform_get (&form, "d e"), "x?y");
  CU_ASSERT_PTR_NULL (urlform_get (&form, "x"));
  urlform_free (&form);
  CU_ASSERT_EQUAL (urlform_parse (&form, body, URLFORM_BODY_BYTES_MAX + 1),
                   SR_EFULL);
}

int
main (void)
{
  static const struct suite_test tests[]
      = { { "round trip", test_round_trip },
          { "fault at field", test_fault_at_field },
          { "escaping", test_escaping },
          { "add and remove", test_add_and_remove },
          { "stale review", test_stale_review },
          { "review and apply", test_review_and_apply },
          { "results", test_results },
          { "same origin", test_same_origin },
          { "urlform", test_urlform },
          { NULL, NULL } };

  return suite_run ("console", tests);
}
