#ifndef PROGRAMS_NODE_PLATFORM_H
#define PROGRAMS_NODE_PLATFORM_H

/**
 * DOC: node_platform - node with the settings file of the users' platform
 *
 * It serves requests with the gate task.
 */

/* Reads the settings file and runs until the node has shut down; returns the
   exit status.  */
int node_platform_run (void);

/* Validates the settings file; returns the exit status.  */
int node_platform_check (void);

#endif
