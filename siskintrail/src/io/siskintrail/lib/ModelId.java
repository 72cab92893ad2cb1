package io.siskintrail.lib;

/**
 * Names what an engine has loaded: a model, an adapter on top of it and a version of both. Outputs
 * of two different ids are never joined into one answer.
 *
 * @param model the name callers ask for
 * @param adapter the adapter, empty when none is loaded
 * @param version the version of the weights
 */
public record ModelId(String model, String adapter, String version) implements Comparable<ModelId> {

    /** Checks the three parts. */
    public ModelId {
        IdText.check("model", model);
        if (!adapter.isEmpty()) {
            IdText.check("adapter", adapter);
        }
        IdText.check("version", version);
    }

    @Override
    public int compareTo(ModelId other) {
        return toString().compareTo(other.toString());
    }

    /** Returns {@code model[+adapter]@version}. */
    @Override
    public String toString() {
        String plus = adapter.isEmpty() ? "" : "+" + adapter;
        return model + plus + "@" + version;
    }
}
