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

/* Writes text of an HTML page in the encoding of a form.  */
static void
write_encoded (FILE *out, const char *text, size_t len)
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

/* Writes the encoded value of attribute NAME of the tag at TAG, if it has
   one.  */
static void
write_encoded_attribute (FILE *out, const char *tag, const char *name)
{
  const char *end = strchr (tag, '>');
  const char *at = strstr (tag, name);

  if (at == NULL || at > end)
    return;
  at += strlen (name);
  write_encoded (out, at, strcspn (at, "\""));
}

/* Returns the body that a browser sends for the first form of PAGE when the
   button with ACTION is pressed.  */
static char *
fill_form (const char *page, const char *action)
{
  char *body = NULL;
  size_t size;
  FILE *out = open_memstream (&body, &size);

  fprintf (out, "action=%s", action);
  for (const char *tag = strchr (page, '<'); tag != NULL;
       tag = strchr (tag + 1, '<'))
    {
      const char *option;

      if (strncmp (tag, "<input", 6) != 0 && strncmp (tag, "<select", 7) != 0
          && strncmp (tag, "<textarea", 9) != 0)
        continue;
      fputc ('&', out);
      write_encoded_attribute (out, tag, " name=\"");
      fputc ('=', out);
      option = tag;
      if (tag[1] == 's')
        option = strstr (tag, " selected>");
      while (tag[1] == 's' && strncmp (option, "<option", 7) != 0)
        option--;
      if (tag[1] == 't')
        write_encoded (out, strchr (tag, '>') + 2,
                       strcspn (strchr (tag, '>') + 2, "<"));
      else
        write_encoded_attribute (out, option, " value=\"");
    }
  fclose (out);
  return body;
}

static struct console_response
show_document (uint64_t version, const char *document)
{
  struct console_request request = { .kind = CONSOLE_SHOW };
  struct console_response response;

  request.current.version = version;
  request.current.document = document;
  request.current.len = strlen (document);
  CU_ASSERT_EQUAL_FATAL (console_respond (&request, &response), SR_OK);
  CU_ASSERT_EQUAL_FATAL (response.kind, CONSOLE_PAGE);
  return response;
}

static struct console_response
submit_form (const char *current_document, const char *body)
{
  struct console_request request
      = { .kind = CONSOLE_SUBMIT, .new_change_id = "fresh-1" };
  struct console_response response;

  request.current.version = 3;
  request.current.document = current_document;
  request.current.len = strlen (current_document);
  request.u.submit.body = body;
  request.u.submit.len = strlen (body);
  CU_ASSERT_EQUAL_FATAL (console_respond (&request, &response), SR_OK);
  return response;
}

/* A document that is shown as a form and submitted must be the same again; a
   field that the form lacks or changes would be lost at the next change.  */
static void
test_round_trip (void)
{
  static const char *const paths[]
      = { "examples/taquari.json", "examples/fes.json" };

  for (size_t i = 0; i < 2; i++)
    {
      char *document = read_file (paths[i]);
      char *canonical = doc_canonical (document, strlen (document));
      struct console_response page = show_document (3, document);
      char *body = fill_form (page.u.page.html, "download");
      struct console_response download = submit_form (document, body);

      CU_ASSERT_EQUAL_FATAL (download.kind, CONSOLE_DOWNLOAD);
      download.u.download.document[download.u.download.len - 1] = '\0';
      CU_ASSERT_STRING_EQUAL (download.u.download.document, canonical);
      console_response_free (&page);
      console_response_free (&download);
      free (body);
      free (canonical);
      free (document);
    }
}

/* A fault must be shown at its field, with the wrong value kept, and must be
   associated with the field for screen readers.  */
static void
test_field_faults (void)
{
  static const char body[]
      = "action=review&base=3&headers=host&services[0].name=s"
        "&services[0].kinds[1].importance=a+lot";
  static const char *const expected[] = {
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
  struct console_response page = submit_form ("", body);

  CU_ASSERT_EQUAL_FATAL (page.kind, CONSOLE_PAGE);
  CU_ASSERT_EQUAL (page.u.page.status, 400);
  for (size_t i = 0; i < sizeof expected / sizeof expected[0]; i++)
    CU_ASSERT_PTR_NOT_NULL (strstr (page.u.page.html, expected[i]));
  console_response_free (&page);
}

/* Names and values of the document must be escaped on every page, or they
   could insert markup (cross-site scripting).  */
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
      struct console_response page = submit_form ("", bodies[i]);

      CU_ASSERT_EQUAL_FATAL (page.kind, CONSOLE_PAGE);
      CU_ASSERT_PTR_NULL (strstr (page.u.page.html, "<b>"));
      console_response_free (&page);
    }
}

/* The buttons that add or remove a service or a request kind must change only
   that one.  */
static void
test_add_and_remove (void)
{
  static const struct
  {
    const char *action;
    const char *present;
    const char *absent;
  } rows[] = {
    { "add-service", "name=\"services[4].kinds[0].name\"", "services[5]" },
    { "add-kind:2", "name=\"services[2].kinds[2].name\"", "kinds[3]" },
    { "remove-service:0", "value=\"orders\"", "value=\"stock\"" },
    { "remove-kind:2.0", "value=\"cancel-reservation\"",
      "value=\"reserve-coil\"" },
    { "remove-kind:9.9", "value=\"reserve-coil\"", "services[4]" },
  };
  char *document = read_file ("examples/taquari.json");
  struct console_response page = show_document (3, document);

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      char *body = fill_form (page.u.page.html, rows[i].action);
      struct console_response next = submit_form (document, body);

      CU_ASSERT_EQUAL_FATAL (next.kind, CONSOLE_PAGE);
      CU_ASSERT_PTR_NOT_NULL (strstr (next.u.page.html, rows[i].present));
      CU_ASSERT_PTR_NULL (strstr (next.u.page.html, rows[i].absent));
      console_response_free (&next);
      free (body);
    }
  console_response_free (&page);
  free (document);
}

/* The review must report a change that was accepted after the form was opened,
   or it would be overwritten unnoticed.  */
static void
test_outdated_review (void)
{
  char *document = read_file ("examples/fes.json");
  struct console_response form = show_document (2, document);
  char *body = fill_form (form.u.page.html, "review");
  struct console_response review = submit_form (document, body);

  CU_ASSERT_EQUAL_FATAL (review.kind, CONSOLE_PAGE);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (review.u.page.html, "Version 3 is in force by now"));
  console_response_free (&form);
  console_response_free (&review);
  free (body);
  free (document);
}

/* The review must show the difference.  Submitting it twice must send the same
   change id and document, so that the change is applied once.  */
static void
test_review_and_apply (void)
{
  char *document = read_file ("examples/fes.json");
  struct console_response form = show_document (3, document);
  char *slots = strstr (form.u.page.html, "value=\"35\"");
  char *body;
  struct console_response review;

  slots[8] = '6';
  body = fill_form (form.u.page.html, "review");
  review = submit_form (document, body);
  free (body);
  CU_ASSERT_EQUAL_FATAL (review.kind, CONSOLE_PAGE);
  CU_ASSERT_PTR_NOT_NULL (strstr (review.u.page.html, "\n-      &quot;slots&"
                                                      "quot;: 35\n+"));
  body = fill_form (review.u.page.html, "apply");
  for (int i = 0; i < 2; i++)
    {
      struct console_response apply = submit_form (document, body);

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

/* When the response to a change is lost, the result page must allow the same
   change to be sent again.  A conflict must not look like success.  */
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
  CU_ASSERT_EQUAL_FATAL (console_respond (&request, &page), SR_OK);
  CU_ASSERT_EQUAL (page.u.page.status, 503);
  body = fill_form (page.u.page.html, "apply");
  apply = submit_form ("", body);
  CU_ASSERT_EQUAL_FATAL (apply.kind, CONSOLE_APPLY);
  CU_ASSERT_STRING_EQUAL (apply.u.apply.change_id, "c-9");
  console_response_free (&apply);
  console_response_free (&page);
  free (body);
  request.u.result.outcome = CONSOLE_CONFLICT;
  request.u.result.version = 5;
  CU_ASSERT_EQUAL_FATAL (console_respond (&request, &page), SR_OK);
  CU_ASSERT_EQUAL (page.u.page.status, 409);
  CU_ASSERT_PTR_NOT_NULL (strstr (page.u.page.html, "Version 5 is in force"));
  console_response_free (&page);
  free (document);
}

/* A form that a page of another site submits through the operator's browser
   must be rejected (cross-site request forgery).  */
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

/* A percent escape that is cut off or invalid must be kept as text, and a NUL
   byte replaced.  A body beyond the limit must be rejected.  */
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
      = { { "form keeps the whole document", test_round_trip },
          { "faults are shown at their fields", test_field_faults },
          { "names and values are escaped", test_escaping },
          { "buttons change one service or kind", test_add_and_remove },
          { "review of an outdated form", test_outdated_review },
          { "review and repeated submission", test_review_and_apply },
          { "result pages", test_results },
          { "forms of other sites are rejected", test_same_origin },
          { "decoding of forms", test_urlform },
          { NULL, NULL } };

  return suite_run ("console", tests);
}
