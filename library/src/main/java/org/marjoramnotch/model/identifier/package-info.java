/** Names and numbers that identify the objects of the system. */
@NullMarked
package org.marjoramnotch.model.identifier;

import org.jspecify.annotations.NullMarked;
