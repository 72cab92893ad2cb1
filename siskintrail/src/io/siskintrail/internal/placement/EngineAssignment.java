package io.siskintrail.internal.placement;

import io.siskintrail.internal.rules.EngineRole;
import io.siskintrail.lib.ModelId;

/**
 * The model that an engine has loaded or is to load, with the role in which the engine runs it.
 *
 * @param model the model, adapter and version
 * @param role the phases of a generation that the engine runs
 */
public record EngineAssignment(ModelId model, EngineRole role) {}
