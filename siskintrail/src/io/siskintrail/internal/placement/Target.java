package io.siskintrail.internal.placement;

import io.siskintrail.internal.rules.EngineRole;
import io.siskintrail.lib.ModelId;

/**
 * What an engine is to be.
 *
 * @param model the model, adapter and version that it holds
 * @param role the part of a generation that it runs
 */
public record Target(ModelId model, EngineRole role) {}
