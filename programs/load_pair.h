#ifndef PROGRAMS_LOAD_PAIR_H
#define PROGRAMS_LOAD_PAIR_H

/**
 * DOC: load_pair - paired comparison of latencies
 *
 * A pair is the same request sent directly to the backend server and through
 * the nodes.
 */

#include "programs/load_state.h"

void load_pair_init (struct load_pairs *pairs);
void load_pair_free (struct load_pairs *pairs);

/* Draws which request of the pair is sent first.  */
void load_pair_draw_order (struct load_call *call);

/**
 * load_pair_next_request() - handle the end of one request of a pair
 * @call: the pair
 * @verdict: outcome of the request
 *
 * Adds the pair to the statistics when both requests had the outcome
 * LOAD_WHOLE.
 *
 * Return: whether the second request is to be sent now.
 */
bool load_pair_next_request (struct load_call *call,
                             const struct load_verdict *verdict);

#endif
