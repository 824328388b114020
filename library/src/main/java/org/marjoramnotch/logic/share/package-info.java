/**
 * Sharing of capacity among teams by weight, for loads in which one or several teams send more than
 * the pool can run.
 */
@NullMarked
package org.marjoramnotch.logic.share;

import org.jspecify.annotations.NullMarked;
