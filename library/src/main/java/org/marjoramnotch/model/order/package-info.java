/** Calls to workers and their outcomes. */
@NullMarked
package org.marjoramnotch.model.order;

import org.jspecify.annotations.NullMarked;
