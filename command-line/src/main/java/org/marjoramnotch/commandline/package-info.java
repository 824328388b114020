/** The command line, which starts daemons and lets operators control a cell. */
@NullMarked
package org.marjoramnotch.commandline;

import org.jspecify.annotations.NullMarked;
