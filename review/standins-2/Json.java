import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON. Not instantiable; thread-safe. */
final class Json {

    private final String text;
    private int position;

    private Json(final String text) {
        this.text = text;
    }

    static Object parse(final String text) {
        Json reader = new Json(text);
        return reader.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parseObject(final String text) {
        return (Map<String, Object>) parse(text);
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(position))) {
            position++;
        }
        return text.charAt(position);
    }

    private Object value() {
        char next = peek();
        if (next == '{') {
            Map<String, Object> object = new LinkedHashMap<>();
            position++;
            while (peek() != '}') {
                String name = string();
                peek();
                position++; // the colon
                object.put(name, value());
                if (peek() == ',') {
                    position++;
                }
            }
            position++;
            return object;
        }
        if (next == '[') {
            List<Object> list = new ArrayList<>();
            position++;
            while (peek() != ']') {
                list.add(value());
                if (peek() == ',') {
                    position++;
                }
            }
            position++;
            return list;
        }
        if (next == '"') {
            return string();
        }
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private String string() {
        peek();
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char each = text.charAt(position++);
            if (each == '\\') {
                char escaped = text.charAt(position++);
                switch (escaped) {
                    case 'n' -> result.append('\n');
                    case 't' -> result.append('\t');
                    case 'r' -> result.append('\r');
                    case 'b' -> result.append('\b');
                    case 'f' -> result.append('\f');
                    case 'u' -> {
                        result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                        position += 4;
                    }
                    default -> result.append(escaped);
                }
            } else {
                result.append(each);
            }
        }
        position++;
        return result.toString();
    }

    static String write(final Object value) {
        StringBuilder result = new StringBuilder();
        write(value, result);
        return result.toString();
    }

    private static void write(final Object value, final StringBuilder result) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                result.append(separator);
                write(String.valueOf(entry.getKey()), result);
                result.append(':');
                write(entry.getValue(), result);
                separator = ",";
            }
            result.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof Iterable<?> list) {
            String separator = "";
            result.append('[');
            for (Object each : list) {
                result.append(separator);
                write(each, result);
                separator = ",";
            }
            result.append(']');
        } else if (value instanceof String string) {
            result.append('"').append(string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")).append('"');
        } else {
            result.append(value);
        }
    }
}
