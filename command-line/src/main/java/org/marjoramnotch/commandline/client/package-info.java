/** Client for the operator interface of a cell, over HTTP. */
@NullMarked
package org.marjoramnotch.commandline.client;

import org.jspecify.annotations.NullMarked;
