package io.siskintrail.internal.rules;

/** The phases of a generation that an engine is configured to run. */
public enum EngineRole {
    /** Prefill and decoding. */
    MIXED,
    /** Prefill only: processes prompts. */
    PREFILL,
    /** Decoding only: generates output tokens. */
    DECODE
}
