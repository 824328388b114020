/**
 * The replicated log: elections, replication, membership and snapshots, without input or output.
 */
@NullMarked
package org.marjoramnotch.logic.replication;

import org.jspecify.annotations.NullMarked;
