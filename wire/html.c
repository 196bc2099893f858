#include "wire/html.h"

#include <ctype.h>
#include <stdbool.h>
#include <string.h>

/* A path is cut to this length, with a terminating NUL, in an element id.  */
#define HTML_ID_BYTES 256

static const char html_style[]
    = "body{font:1rem/1.5 sans-serif;max-width:60rem;margin:1rem auto;"
      "padding:0 1rem;color:#111;background:#fff}"
      "fieldset,details{margin:1rem 0;padding:.5rem 1rem;border:1px solid "
      "#767676}label,summary,legend{font-weight:bold}label{display:block}"
      "input,select,textarea,button{font:inherit;padding:.25rem .5rem}"
      ".help{margin:0;color:#444}.fault{margin:0;color:#a00000;"
      "font-weight:bold}.field{margin:.75rem 0}"
      "[aria-invalid=true]{border:2px solid #a00000}"
      ":focus-visible{outline:3px solid #0050b0}"
      "pre{overflow:auto;border:1px solid #767676;padding:.5rem}";

/* Character reference of a character that is special in HTML.  */
static const char *
html_entity (char c)
{
  switch (c)
    {
    case '&':
      return "&amp;";
    case '<':
      return "&lt;";
    case '>':
      return "&gt;";
    case '"':
      return "&quot;";
    default:
      return "&#39;";
    }
}

void
html_text (FILE *out, const char *text)
{
  for (;;)
    {
      size_t len = strcspn (text, "&<>\"'");

      fwrite (text, 1, len, out);
      if (text[len] == '\0')
        return;
      fputs (html_entity (text[len]), out);
      text += len + 1;
    }
}

void
html_attribute (FILE *out, const char *name, const char *value)
{
  fprintf (out, " %s=\"", name);
  html_text (out, value);
  fputc ('"', out);
}

void
html_id (FILE *out, const char *path, const char *suffix)
{
  char id[HTML_ID_BYTES] = "";
  size_t len = strnlen (path, sizeof id - 1);

  for (size_t i = 0; i < len; i++)
    {
      bool plain = isalnum ((unsigned char)path[i]) || path[i] == '_';

      id[i] = plain ? path[i] : '-';
    }
  fwrite (id, 1, len, out);
  fputs (suffix, out);
}

void
html_id_attribute (FILE *out, const char *name, const char *path,
                   const char *suffix)
{
  fprintf (out, " %s=\"", name);
  html_id (out, path, suffix);
  fputc ('"', out);
}

void
html_hidden (FILE *out, const char *name, const char *value)
{
  fputs ("<input type=\"hidden\"", out);
  html_attribute (out, "name", name);
  html_attribute (out, "value", value);
  fputs (">\n", out);
}

void
html_button (FILE *out, const char *action, const char *label)
{
  fputs ("<button type=\"submit\" name=\"action\"", out);
  html_attribute (out, "value", action);
  fputc ('>', out);
  html_text (out, label);
  fputs ("</button>\n", out);
}

void
html_page_start (FILE *out, const char *title)
{
  fputs ("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
         "<meta charset=\"utf-8\">\n"
         "<meta name=\"viewport\" content=\"width=device-width\">\n<title>",
         out);
  html_text (out, title);
  fprintf (out, " - sycamorerudder</title>\n<style>%s</style>\n</head>\n",
           html_style);
  fputs ("<body>\n<main>\n<h1>", out);
  html_text (out, title);
  fputs ("</h1>\n", out);
}

void
html_page_end (FILE *out)
{
  fputs ("</main>\n</body>\n</html>\n", out);
}
