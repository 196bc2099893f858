#ifndef PROGRAMS_LOAD_MIX_H
#define PROGRAMS_LOAD_MIX_H

/**
 * DOC: load_mix - weighted mix of the requests that the load generator sends
 *
 * An entry is written "METHOD PATH WEIGHT [bytes=N] [key] [label=NAME]". "{n}"
 * in PATH is replaced by the serial number of the request.
 */

#include "core/list.h"
#include "core/rng.h"
#include "programs/load_stat.h"
#include "programs/tool_answer.h"
#include "programs/tool_opt.h"

struct load_mix_entry
{
  struct list_node node;
  char method[16];
  char path[TOOL_ANSWER_PATH_BYTES];
  char label[64];
  uint32_t weight;
  size_t body_bytes;
  bool has_key; /* requests carry an idempotency key */
  struct load_stat stat;
};

struct load_mix
{
  struct list entries;
  uint32_t total_weight; /* sum over all entries */
};

/* Reads entries from TEXTS and from the lines of FILE, which may be NULL.  An
   invalid one ends the process with status 2.  */
void load_mix_read (struct load_mix *mix, const struct tool_opt_list *texts,
                    const char *file);

/* Draws an entry with a probability in proportion to its weight.  */
struct load_mix_entry *load_mix_draw (const struct load_mix *mix,
                                      struct rng *rng);

/* Writes the path of request number SERIAL to OUT, which has
   TOOL_ANSWER_PATH_BYTES.  */
void load_mix_format_path (const struct load_mix_entry *entry, uint64_t serial,
                           char *out);

void load_mix_free (struct load_mix *mix);

#endif
