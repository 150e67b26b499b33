package org.cowslipbank.model;

/**
 * Identifies what a request runs on: a model, the version of its weights and an adapter.
 *
 * @param model the model's name
 * @param weightVersion the version of the weights
 * @param adapter the adapter's name, empty for none
 */
public record ModelRef(String model, String weightVersion, String adapter) {
    /**
     * Creates a reference.
     *
     * @throws IllegalArgumentException if model or weight version is blank
     */
    public ModelRef {
        Identifiers.requireText("model", model);
        Identifiers.requireText("weightVersion", weightVersion);
        adapter = adapter == null ? "" : adapter;
    }
}
