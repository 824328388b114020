/** The replicated log: elections, replication, membership changes and snapshots, without I/O. */
@NullMarked
package org.marjoramnotch.logic.replication;

import org.jspecify.annotations.NullMarked;
