/** Endpoints that handle requests, and the attempts that hold their slots. */
@NullMarked
package org.marjoramnotch.model.endpoint;

import org.jspecify.annotations.NullMarked;
