/**
 * Admission of workflows: decides from the measured load whether a submission can still be served
 * or is refused at once. Each load pattern has an estimator of its own.
 */
@NullMarked
package org.marjoramnotch.logic.admission;

import org.jspecify.annotations.NullMarked;
