package org.marjoramnotch.logic.configuration;

import org.marjoramnotch.model.rule.Rule;

/**
 * Reads and writes one kind of rule, without the word that names the kind.
 *
 * @param <R> the rule
 */
interface RuleSyntax<R extends Rule> {
    /**
     * Reads the words up to the end of the rule.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException naming what is wrong
     */
    R read(RuleWordReader words);

    /** Returns the words that {@link #read} reads. */
    String write(R rule);
}
