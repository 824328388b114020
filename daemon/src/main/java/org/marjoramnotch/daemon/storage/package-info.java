/** Files that keep a replica's state in one data folder. */
@NullMarked
package org.marjoramnotch.daemon.storage;

import org.jspecify.annotations.NullMarked;
