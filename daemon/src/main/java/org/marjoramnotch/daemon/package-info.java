/** The process of the system that runs on every VM. */
@NullMarked
package org.marjoramnotch.daemon;

import org.jspecify.annotations.NullMarked;
