/** Requests to the leader of a cell, and its replies. */
@NullMarked
package org.marjoramnotch.model.message;

import org.jspecify.annotations.NullMarked;
