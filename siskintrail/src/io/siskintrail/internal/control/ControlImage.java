package io.siskintrail.internal.control;

import io.siskintrail.internal.ledger.LedgerImage;

/**
 * The whole {@link ControlState}, by section.
 *
 * @param configuration the configuration
 * @param ledger the orders
 */
public record ControlImage(ConfigurationImage configuration, LedgerImage ledger) {}
