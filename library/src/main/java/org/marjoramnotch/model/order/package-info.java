/** Orders to workers and what comes of them. */
@NullMarked
package org.marjoramnotch.model.order;

import org.jspecify.annotations.NullMarked;
