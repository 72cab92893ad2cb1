package io.siskintrail.lib;

/**
 * Identifies what an engine has loaded: a model, an optional adapter and the version of both.
 * Outputs of two different ids are never combined into one answer.
 *
 * @param model the model name that callers request
 * @param adapter the adapter; empty when none is loaded
 * @param version the version of the weights
 */
public record ModelId(String model, String adapter, String version) implements Comparable<ModelId> {

    /** Validates the three parts. */
    public ModelId {
        IdText.validate("model", model);
        if (!adapter.isEmpty()) {
            IdText.validate("adapter", adapter);
        }
        IdText.validate("version", version);
    }

    @Override
    public int compareTo(ModelId other) {
        return toString().compareTo(other.toString());
    }

    /** Returns {@code model[+adapter]@version}. */
    @Override
    public String toString() {
        String adapterSuffix = adapter.isEmpty() ? "" : "+" + adapter;
        return model + adapterSuffix + "@" + version;
    }
}
