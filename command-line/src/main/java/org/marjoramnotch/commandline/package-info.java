/** The command line: starts daemons and lets operators drive a cell. */
@NullMarked
package org.marjoramnotch.commandline;

import org.jspecify.annotations.NullMarked;
