/** The encoding of the messages between the processes of the system. */
@NullMarked
package org.marjoramnotch.wire;

import org.jspecify.annotations.NullMarked;
