#ifndef CORE_REPMSG_H
#define CORE_REPMSG_H

/**
 * DOC: repmsg - messages of the replicated log and of its store
 */

struct rep_msg;
struct sto_write;
struct sto_done;

void rep_msg_free (struct rep_msg *msg);
void sto_write_free (struct sto_write *write);
void sto_done_free (struct sto_done *done);

#endif
