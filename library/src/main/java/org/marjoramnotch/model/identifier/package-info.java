/** Names and numbers that tell one object of the system from another. */
@NullMarked
package org.marjoramnotch.model.identifier;

import org.jspecify.annotations.NullMarked;
