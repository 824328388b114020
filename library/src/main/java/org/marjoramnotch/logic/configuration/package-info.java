/** Operators' rules: reading, checking, changing and asking them. */
@NullMarked
package org.marjoramnotch.logic.configuration;

import org.jspecify.annotations.NullMarked;
