/** The operators' rules as typed data. */
@NullMarked
package org.marjoramnotch.model.rule;

import org.jspecify.annotations.NullMarked;
