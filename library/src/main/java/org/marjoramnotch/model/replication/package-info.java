/** Messages and entries of the replicated log. */
@NullMarked
package org.marjoramnotch.model.replication;

import org.jspecify.annotations.NullMarked;
