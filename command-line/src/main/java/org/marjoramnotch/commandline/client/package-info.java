/** Calls of operators to the daemons of a cell, over HTTP. */
@NullMarked
package org.marjoramnotch.commandline.client;

import org.jspecify.annotations.NullMarked;
