package org.cowslipbank.config;

import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;

/** Prints a configuration in its canonical form: fixed field order, sections sorted by identifier, LF line ends. */
public final class ConfigurationPrinter {
    private static final ObjectWriter WRITER = new ObjectMapper()
            .writer(new DefaultPrettyPrinter()
                    .withObjectIndenter(new DefaultIndenter("  ", "\n"))
                    .withArrayIndenter(new DefaultIndenter("  ", "\n")));

    private ConfigurationPrinter() {}

    /**
     * Prints a configuration. Parsing the result gives the configuration in canonical order.
     *
     * @param configuration the configuration
     * @return JSON text that ends with a line feed
     */
    public static String print(Configuration configuration) {
        try {
            return WRITER.writeValueAsString(ConfigurationCodec.write(toCanonicalOrder(configuration))) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot print configuration", e);
        }
    }

    /**
     * Sorts every section by its identifier. Lists within an entry keep their order.
     *
     * @param configuration the configuration
     * @return the same configuration in canonical order
     */
    public static Configuration toCanonicalOrder(Configuration configuration) {
        return new Configuration(
                configuration.revision(),
                sort(configuration.teams(), Comparator.comparing(Team::id)),
                sort(configuration.models(), Comparator.comparing(Model::name)),
                sort(configuration.services(), Comparator.comparing(Service::name)),
                sort(configuration.upstreams(), Comparator.comparing(Upstream::id)),
                sort(configuration.stores(), Comparator.comparing(StoreVm::id)),
                configuration.weights());
    }

    private static <T> List<T> sort(List<T> items, Comparator<T> order) {
        return items.stream().sorted(order).toList();
    }
}
