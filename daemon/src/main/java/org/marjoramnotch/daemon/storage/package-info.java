/** Stores a replica's state as files in one data folder. */
@NullMarked
package org.marjoramnotch.daemon.storage;

import org.jspecify.annotations.NullMarked;
