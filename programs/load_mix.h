#ifndef PROGRAMS_LOAD_MIX_H
#define PROGRAMS_LOAD_MIX_H

/**
 * DOC: lmx - kinds of requests that the load tool sends
 *
 * A kind is written "METHOD PATH WEIGHT [bytes=N] [key] [label=NAME]".  "{n}"
 * in PATH is replaced by the number of the request.
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
  size_t body_bytes; /* length of the body */
  bool has_key;      /* sends an idempotency key */
  struct load_stat stat;
};

struct load_mix
{
  struct list entries;
  uint32_t total_weight; /* of all kinds */
};

/* Reads kinds from TEXTS and from FILE, which may be NULL.  A wrong one ends
   the process.  */
void load_mix_read (struct load_mix *mix, const struct tool_opt_list *texts,
                    const char *file);

/* Draws a kind by weight.  */
struct load_mix_entry *load_mix_draw (const struct load_mix *mix,
                                      struct rng *rng);

/* Writes the path of request SERIAL to OUT, TOOL_ANSWER_PATH_BYTES long.  */
void load_mix_format_path (const struct load_mix_entry *kind, uint64_t serial,
                           char *out);

void load_mix_free (struct load_mix *mix);

#endif
