/** Bounds the share of the leader's time that periodic decisions take. */
@NullMarked
package org.marjoramnotch.logic.pacing;

import org.jspecify.annotations.NullMarked;
