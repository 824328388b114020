/**
 * Service of work when capacity is insufficient: which work is served in time, which is set aside,
 * and how long new work waits.
 */
@NullMarked
package org.marjoramnotch.logic.overload;

import org.jspecify.annotations.NullMarked;
