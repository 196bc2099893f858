#ifndef PROGRAMS_LOAD_PAIR_H
#define PROGRAMS_LOAD_PAIR_H

/**
 * DOC: lpr - pairs of a direct request and the same one through the nodes
 */

#include "programs/load_state.h"

void load_pair_init (struct load_pairs *pairs);
void load_pair_free (struct load_pairs *pairs);

/* Draws which request of the pair goes first.  */
void load_pair_draw_order (struct load_call *call);

/**
 * load_pair_next_request() - take the end of one request of a pair
 * @call: the pair
 * @verdict: what the request came to
 *
 * Counts the pair when both requests were answered in full.
 *
 * Return: whether the other request is to be sent.
 */
bool load_pair_next_request (struct load_call *call,
                             const struct load_verdict *verdict);

#endif
