package hopdrum.frontdoor.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON text into maps, lists, strings, doubles, booleans and null. */
public final class JsonReader {
    private static final int MAX_DEPTH = 64;
    private final String text;
    private int position;

    private JsonReader(String text) {
        this.text = text;
    }

    /**
     * Parses a text that holds exactly one JSON value.
     *
     * @throws MalformedJsonException if the text is not valid JSON, or if values are nested more than 64 levels deep
     */
    public static Object parse(String text) {
        JsonReader reader = new JsonReader(text);
        Object value = reader.readValue(0);
        reader.skipWhitespace();
        if (reader.position < text.length()) {
            throw reader.malformed("unexpected text after the value");
        }
        return value;
    }

    private Object readValue(int depth) {
        if (depth > MAX_DEPTH) {
            throw malformed("values are nested more than " + MAX_DEPTH + " levels deep");
        }
        skipWhitespace();
        return switch (peek()) {
            case '{' -> readObject(depth);
            case '[' -> readArray(depth);
            case '"' -> readString();
            case 't' -> readLiteral("true", true);
            case 'f' -> readLiteral("false", false);
            case 'n' -> readLiteral("null", null);
            default -> readNumber();
        };
    }

    private Map<String, Object> readObject(int depth) {
        Map<String, Object> object = new LinkedHashMap<>();
        position++;
        if (skipIfNext('}')) {
            return object;
        }
        do {
            skipWhitespace();
            String name = readString();
            if (!skipIfNext(':')) {
                throw malformed("expected ':' after a name");
            }
            object.put(name, readValue(depth + 1));
        } while (skipIfNext(','));
        if (!skipIfNext('}')) {
            throw malformed("expected ',' or '}' in an object");
        }
        return object;
    }

    private List<Object> readArray(int depth) {
        List<Object> list = new ArrayList<>();
        position++;
        if (skipIfNext(']')) {
            return list;
        }
        do {
            list.add(readValue(depth + 1));
        } while (skipIfNext(','));
        if (!skipIfNext(']')) {
            throw malformed("expected ',' or ']' in an array");
        }
        return list;
    }

    private String readString() {
        if (peek() != '"') {
            throw malformed("expected a string");
        }
        StringBuilder string = new StringBuilder();
        for (position++; peek() != '"'; position++) {
            char c = peek();
            if (c < ' ') {
                throw malformed("unescaped control character in a string");
            }
            string.append(c == '\\' ? readEscape() : c);
        }
        position++;
        return string.toString();
    }

    private char readEscape() {
        position++;
        char c = peek();
        if (c == 'u' && position + 4 < text.length()) {
            int code = 0;
            for (int i = 1; i <= 4; i++) {
                int digit = Character.digit(text.charAt(position + i), 16);
                if (digit < 0) {
                    throw malformed("malformed escape sequence");
                }
                code = code * 16 + digit;
            }
            position += 4;
            return (char) code;
        }
        int index = "\"\\/bfnrt".indexOf(c);
        if (index < 0) {
            throw malformed("unknown escape sequence");
        }
        return "\"\\/\b\f\n\r\t".charAt(index);
    }

    private Object readNumber() {
        int from = position;
        while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
        try {
            return Double.valueOf(text.substring(from, position));
        } catch (NumberFormatException e) {
            position = from;
            throw malformed("expected a value");
        }
    }

    private Object readLiteral(String literal, Object value) {
        if (!text.startsWith(literal, position)) {
            throw malformed("expected a value");
        }
        position += literal.length();
        return value;
    }

    private boolean skipIfNext(char c) {
        skipWhitespace();
        if (position < text.length() && text.charAt(position) == c) {
            position++;
            return true;
        }
        return false;
    }

    private void skipWhitespace() {
        while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
    }

    private char peek() {
        if (position >= text.length()) {
            throw malformed("it ends too soon");
        }
        return text.charAt(position);
    }

    private MalformedJsonException malformed(String message) {
        return new MalformedJsonException(position, message);
    }
}
