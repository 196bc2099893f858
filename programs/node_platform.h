#ifndef PROGRAMS_NODE_PLATFORM_H
#define PROGRAMS_NODE_PLATFORM_H

/**
 * DOC: node - a node whose settings come from the users' platform
 */

/* Reads the settings file and runs until a stop; returns the exit status.  */
int node_platform_run (void);

/* Reads and checks the settings file; returns the exit status.  */
int node_platform_check (void);

#endif
