#ifndef WIRE_EXPO_H
#define WIRE_EXPO_H

/**
 * DOC: expo - Prometheus text exposition of counters and histograms
 */

#include "core/buf.h"

/* Appends all counters and histograms of this process.  */
void expo_metrics (struct buf *out);

#endif
