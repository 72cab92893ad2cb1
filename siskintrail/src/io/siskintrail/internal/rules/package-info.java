/**
 * The rules language: one line of plain text for each rule, with a comment that says who requested
 * it.
 *
 * <p>{@link io.siskintrail.internal.rules.RulesParser} checks a whole file and reports every error;
 * {@link io.siskintrail.internal.rules.Rules} answers the queries of the policy, the routers and
 * the controllers. The code of this package does no input or output, and parsed rules are
 * immutable. The language is described for operators in docs/operations/rules.md.
 */
package io.siskintrail.internal.rules;
