/**
 * Links between the processes of the system, and the client that sends requests to the leader over
 * them.
 */
@NullMarked
package org.marjoramnotch.daemon.link;

import org.jspecify.annotations.NullMarked;
