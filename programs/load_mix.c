#include "programs/load_mix.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/err.h"
#include "programs/load_options.h"

#define LOAD_MIX_ALLOWED                                                      \
  "METHOD PATH WEIGHT [bytes=N] [key] [label=NAME], weight 1 to 1000000"
#define LOAD_MIX_WEIGHT_MAX 1000000
#define LOAD_MIX_BYTES_MAX (64ul * 1024 * 1024)
#define LOAD_MIX_LINE_BYTES 512

/* Parses one of the options after the weight; returns false when it is
   invalid.  */
static bool
load_mix_parse_option (struct load_mix_entry *entry, const char *word)
{
  char *end;

  if (strcmp (word, "key") == 0)
    {
      entry->has_key = true;
      return true;
    }
  if (strncmp (word, "label=", 6) == 0 && strlen (word) < 6 + 64)
    {
      snprintf (entry->label, sizeof entry->label, "%s", word + 6);
      return true;
    }
  if (strncmp (word, "bytes=", 6) != 0)
    return false;
  entry->body_bytes = strtoul (word + 6, &end, 10);
  return *end == '\0' && entry->body_bytes <= LOAD_MIX_BYTES_MAX;
}

static bool
load_mix_parse_entry (struct load_mix_entry *entry, const char *text)
{
  char line[LOAD_MIX_LINE_BYTES];
  char *strtok_state = NULL;
  char *word;
  int used = 0;

  if (sscanf (text, "%15s %199s %" SCNu32 " %n", entry->method, entry->path,
              &entry->weight, &used)
          < 3
      || entry->path[0] != '/' || entry->weight == 0
      || entry->weight > LOAD_MIX_WEIGHT_MAX)
    return false;
  snprintf (entry->label, sizeof entry->label, "%.15s %.40s", entry->method,
            entry->path);
  snprintf (line, sizeof line, "%s", text + used);
  for (word = strtok_r (line, " \t\n", &strtok_state); word != NULL;
       word = strtok_r (NULL, " \t\n", &strtok_state))
    if (!load_mix_parse_option (entry, word))
      return false;
  return true;
}

static void
load_mix_add_entry (struct load_mix *mix, const char *setting,
                    const char *text)
{
  struct load_mix_entry *entry = calloc (1, sizeof *entry);

  INVARIANT (entry != NULL);
  if (!load_mix_parse_entry (entry, text))
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, setting, text, LOAD_MIX_ALLOWED);
  load_stat_init (&entry->stat);
  mix->total_weight += entry->weight;
  list_push_tail (&mix->entries, &entry->node);
}

static void
load_mix_read_file (struct load_mix *mix, const char *file)
{
  char line[LOAD_MIX_LINE_BYTES];
  FILE *in = fopen (file, "r");

  if (in == NULL)
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, "mix", file,
                   "a file that can be read");
  while (fgets (line, sizeof line, in) != NULL)
    {
      line[strcspn (line, "\n")] = '\0';
      if (line[0] != '\0' && line[0] != '#')
        load_mix_add_entry (mix, "mix", line);
    }
  fclose (in);
}

void
load_mix_read (struct load_mix *mix, const struct tool_opt_list *texts,
               const char *file)
{
  list_init (&mix->entries);
  mix->total_weight = 0;
  for (size_t i = 0; i < texts->count; i++)
    load_mix_add_entry (mix, "request", texts->items[i]);
  if (file != NULL)
    load_mix_read_file (mix, file);
  if (mix->total_weight == 0)
    tool_opt_fail (LOAD_OPTIONS_PROGRAM, "request", "",
                   "at least one, or --mix FILE");
}

struct load_mix_entry *
load_mix_draw (const struct load_mix *mix, struct rng *rng)
{
  uint32_t draw = rng_below (rng, mix->total_weight);

  list_each (node, &mix->entries)
    {
      struct load_mix_entry *entry
          = list_entry (node, struct load_mix_entry, node);

      if (draw < entry->weight)
        return entry;
      draw -= entry->weight;
    }
  INVARIANT (!"weights do not add up");
  return NULL;
}

void
load_mix_format_path (const struct load_mix_entry *entry, uint64_t serial,
                      char *out)
{
  const char *placeholder = strstr (entry->path, "{n}");

  if (placeholder == NULL)
    snprintf (out, TOOL_ANSWER_PATH_BYTES, "%s", entry->path);
  else
    snprintf (out, TOOL_ANSWER_PATH_BYTES, "%.*s%" PRIu64 "%s",
              (int)(placeholder - entry->path), entry->path, serial,
              placeholder + 3);
}

void
load_mix_free (struct load_mix *mix)
{
  list_each (node, &mix->entries)
    {
      struct load_mix_entry *entry
          = list_entry (node, struct load_mix_entry, node);

      list_remove (node);
      load_stat_free (&entry->stat);
      free (entry);
    }
}
