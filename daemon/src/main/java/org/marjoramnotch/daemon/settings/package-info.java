/** The settings of a daemon: immutable records, read from one JSON file. */
@NullMarked
package org.marjoramnotch.daemon.settings;

import org.jspecify.annotations.NullMarked;
