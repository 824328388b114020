/**
 * Evacuation of availability zones: the replicated state, and the rules for which zones exist,
 * which workers are cold afterwards and which standing tasks move. Addresses the load of a zone
 * that an operator takes out of service and later returns.
 */
@NullMarked
package org.marjoramnotch.logic.evacuation;

import org.jspecify.annotations.NullMarked;
