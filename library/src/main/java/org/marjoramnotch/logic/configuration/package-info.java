/** The operators' rules: their syntax, validation, changes and queries. */
@NullMarked
package org.marjoramnotch.logic.configuration;

import org.jspecify.annotations.NullMarked;
