package org.marjoramnotch.logic.configuration;

import org.marjoramnotch.model.rule.Rule;

/**
 * Reads and writes rules of one kind, without the keyword that names the kind.
 *
 * @param <R> the type of the rules
 */
interface RuleSyntax<R extends Rule> {
    /**
     * Reads the words up to the end of the rule.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with {@code INVALID_RULES}
     */
    R read(RuleWordReader words);

    /** Returns the text that {@link #read} reads. */
    String write(R rule);
}
