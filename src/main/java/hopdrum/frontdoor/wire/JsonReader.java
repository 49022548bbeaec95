package hopdrum.frontdoor.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON text into maps, lists, strings, doubles, booleans and null. */
public final class JsonReader {
    private static final int MAX_DEPTH = 64;
    private final String text;
    private int position;

    private JsonReader(String text) {
        this.text = text;
    }

    /**
     * The one value that a text holds.
     *
     * @throws MalformedJsonException if the text is no JSON, or is nested more than 64 deep
     */
    public static Object parse(String text) {
        JsonReader json = new JsonReader(text);
        Object value = json.value(0);
        json.skipBlanks();
        if (json.position < text.length()) {
            throw json.malformed("more after the end");
        }
        return value;
    }

    private Object value(int depth) {
        if (depth > MAX_DEPTH) {
            throw malformed("nested too deep");
        }
        skipBlanks();
        return switch (peek()) {
            case '{' -> object(depth);
            case '[' -> array(depth);
            case '"' -> string();
            case 't' -> literal("true", true);
            case 'f' -> literal("false", false);
            case 'n' -> literal("null", null);
            default -> number();
        };
    }

    private Map<String, Object> object(int depth) {
        Map<String, Object> object = new LinkedHashMap<>();
        position++;
        if (takeIf('}')) {
            return object;
        }
        do {
            skipBlanks();
            String name = string();
            if (!takeIf(':')) {
                throw malformed("no colon");
            }
            object.put(name, value(depth + 1));
        } while (takeIf(','));
        if (!takeIf('}')) {
            throw malformed("no end of an object");
        }
        return object;
    }

    private List<Object> array(int depth) {
        List<Object> list = new ArrayList<>();
        position++;
        if (takeIf(']')) {
            return list;
        }
        do {
            list.add(value(depth + 1));
        } while (takeIf(','));
        if (!takeIf(']')) {
            throw malformed("no end of a list");
        }
        return list;
    }

    private String string() {
        if (peek() != '"') {
            throw malformed("no string");
        }
        StringBuilder out = new StringBuilder();
        for (position++; peek() != '"'; position++) {
            char c = peek();
            if (c < ' ') {
                throw malformed("a control character in a string");
            }
            out.append(c == '\\' ? escaped() : c);
        }
        position++;
        return out.toString();
    }

    private char escaped() {
        position++;
        char c = peek();
        if (c == 'u' && position + 4 < text.length()) {
            int code = 0;
            for (int i = 1; i <= 4; i++) {
                int digit = Character.digit(text.charAt(position + i), 16);
                if (digit < 0) {
                    throw malformed("a malformed escape");
                }
                code = code * 16 + digit;
            }
            position += 4;
            return (char) code;
        }
        int known = "\"\\/bfnrt".indexOf(c);
        if (known < 0) {
            throw malformed("an unknown escape");
        }
        return "\"\\/\b\f\n\r\t".charAt(known);
    }

    private Object number() {
        int from = position;
        while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
        try {
            return Double.valueOf(text.substring(from, position));
        } catch (NumberFormatException e) {
            position = from;
            throw malformed("no value");
        }
    }

    private Object literal(String literal, Object value) {
        if (!text.startsWith(literal, position)) {
            throw malformed("no value");
        }
        position += literal.length();
        return value;
    }

    private boolean takeIf(char c) {
        skipBlanks();
        if (position < text.length() && text.charAt(position) == c) {
            position++;
            return true;
        }
        return false;
    }

    private void skipBlanks() {
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

    private MalformedJsonException malformed(String what) {
        return new MalformedJsonException(position, what);
    }
}
