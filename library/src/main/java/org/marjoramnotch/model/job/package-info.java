/** Jobs, their tasks and the workers that run them. */
@NullMarked
package org.marjoramnotch.model.job;

import org.jspecify.annotations.NullMarked;
