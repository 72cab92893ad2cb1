/**
 * The rules language: one line of plain text for each rule, with a comment that says who asked for
 * it.
 *
 * <p>{@link io.siskintrail.internal.rules.RulesParser} checks a whole file and reports every error;
 * {@link io.siskintrail.internal.rules.Rules} answers the look-ups of the policy, the routers and
 * the controllers. Everything here is immutable and free of input and output. The language is
 * described for operators in docs/operations/rules.md.
 */
package io.siskintrail.internal.rules;
