import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON bodies of the stand-ins. Objects are maps, arrays are lists, numbers are doubles or longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at < text.length()) {
            throw new IllegalArgumentException("text behind the JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? new LinkedHashMap<>() : (Map<String, Object>) parse(text);
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        space();
        char first = text.charAt(at);
        if (first == '{') {
            return members();
        }
        if (first == '[') {
            return elements();
        }
        if (first == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && "+-.0123456789eEtrufalsn".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private Map<String, Object> members() {
        Map<String, Object> members = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            String name = string();
            space();
            at++;
            members.put(name, value());
            space();
            if (text.charAt(at) == ',') {
                at++;
                space();
            }
        }
        at++;
        return members;
    }

    private List<Object> elements() {
        List<Object> elements = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            elements.add(value());
            space();
            if (text.charAt(at) == ',') {
                at++;
                space();
            }
        }
        at++;
        return elements;
    }

    private String string() {
        StringBuilder read = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                read.append(next);
                continue;
            }
            char escape = text.charAt(at++);
            switch (escape) {
                case 'n' -> read.append('\n');
                case 't' -> read.append('\t');
                case 'r' -> read.append('\r');
                case 'b' -> read.append('\b');
                case 'f' -> read.append('\f');
                case 'u' -> {
                    read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> read.append(escape);
            }
        }
        at++;
        return read.toString();
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder written = new StringBuilder("{");
            map.forEach((name, member) -> written.append(written.length() > 1 ? "," : "")
                    .append(write(name))
                    .append(':')
                    .append(write(member)));
            return written.append('}').toString();
        }
        if (value instanceof Iterable<?> list) {
            StringBuilder written = new StringBuilder("[");
            list.forEach(element -> written.append(written.length() > 1 ? "," : "").append(write(element)));
            return written.append(']').toString();
        }
        if (value instanceof String string) {
            return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
        }
        return String.valueOf(value);
    }

    /** Creates an object from names and values in turn. */
    static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int index = 0; index < namesAndValues.length; index += 2) {
            map.put((String) namesAndValues[index], namesAndValues[index + 1]);
        }
        return map;
    }
}
