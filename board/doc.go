// Package board is the blackboard of a node: shared tables through which its
// controllers exchange state instead of calling each other.
//
// Lock order: documents, members, peers, levels, spans, attempts, keys, queue.
// A function that holds the lock of one of these may acquire only locks of later
// ones. Functions passed to Table.Update and Table.Range run under the table's
// lock and must not block.
package board
