package io.siskintrail.internal.rules;

/** Says which part of a generation an engine is set up for. */
public enum EngineRole {
    /** Reads prompts and decodes. */
    MIXED,
    /** Reads prompts only. */
    PREFILL,
    /** Decodes only. */
    DECODE
}
