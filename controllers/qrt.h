#ifndef CONTROLLERS_QRT_H
#define CONTROLLERS_QRT_H

/**
 * DOC: qrt - quarantine of requests that crash backend servers
 *
 * A server that is lost marks the fingerprints of the requests in flight.
 * Marks on two different servers quarantine a fingerprint for a time.  A whole
 * answer to a request with the fingerprint clears its marks.  Marks are
 * exchanged between nodes through the control replicas.
 */

#include <stdbool.h>
#include <stdint.h>

#include "core/clk.h"
#include "core/list.h"

#define QRT_INSTANCE_BYTES 64
#define QRT_SERVERS_TO_QUARANTINE 2

struct qrt;

struct qrt_opts
{
  clk_us keep;   /* time that a mark counts and that a quarantine lasts */
  uint32_t most; /* fingerprints kept; the oldest is dropped */
};

/* One mark, as exchanged between nodes.  */
struct qrt_mark
{
  struct lst_node node;
  uint64_t fingerprint;
  char instance[QRT_INSTANCE_BYTES]; /* whose server was lost */
  uint32_t age_ms;                   /* relative, so that clocks may differ */
};

struct qrt *qrt_new (const struct qrt_opts *opts);
void qrt_free (struct qrt *qrt);
void qrt_configure (struct qrt *qrt, const struct qrt_opts *opts);

/* Marks a fingerprint that was in flight when the server of INSTANCE was
   lost.  Returns SR_OK or SR_ENOMEM.  */
int qrt_add (struct qrt *qrt, uint64_t fingerprint, const char *instance,
             clk_us at);

/* Clears the marks after a whole answer.  Marks from before NOW are not
   imported again.  */
void qrt_clear (struct qrt *qrt, uint64_t fingerprint, clk_us now);

/* Whether the fingerprint is in quarantine.  */
bool qrt_blocked (struct qrt *qrt, uint64_t fingerprint, clk_us now);

/* Whether the fingerprint has a mark that counts: a server was lost while the
   request was in flight.  */
bool qrt_suspected (struct qrt *qrt, uint64_t fingerprint, clk_us now);

/* Drops marks older than the keep time.  */
void qrt_expire (struct qrt *qrt, clk_us now);

/* Appends copies of at most MOST marks, newest first, to OUT; the caller
   frees them with free().  Returns their number.  */
uint32_t qrt_export (struct qrt *qrt, struct lst *out, uint32_t most,
                     clk_us now);

/* Adds a mark received from elsewhere; returns SR_EEXIST when it is
   known, cleared since, or too old.  */
int qrt_import (struct qrt *qrt, const struct qrt_mark *mark, clk_us now);

#endif
