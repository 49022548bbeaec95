package hopdrum.frontdoor.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON text to maps, lists, strings, doubles, booleans and null. */
public final class JsonReader {
    private static final int MOST_DEPTH = 64;
    private final String text;
    private int at;

    private JsonReader(String text) {
        this.text = text;
    }

    /** Throws IllegalArgumentException, with the place, where the text is no JSON. */
    public static Object parse(String text) {
        JsonReader json = new JsonReader(text);
        Object value = json.value(0);
        json.blank();
        if (json.at < text.length()) {
            throw json.wrong("more after the end");
        }
        return value;
    }

    private Object value(int depth) {
        if (depth > MOST_DEPTH) {
            throw wrong("nested too deep");
        }
        blank();
        return switch (peek()) {
            case '{' -> object(depth);
            case '[' -> list(depth);
            case '"' -> string();
            case 't' -> word("true", true);
            case 'f' -> word("false", false);
            case 'n' -> word("null", null);
            default -> number();
        };
    }

    private Map<String, Object> object(int depth) {
        Map<String, Object> object = new LinkedHashMap<>();
        at++;
        if (next('}')) {
            return object;
        }
        do {
            blank();
            String name = string();
            if (!next(':')) {
                throw wrong("no colon");
            }
            object.put(name, value(depth + 1));
        } while (next(','));
        if (!next('}')) {
            throw wrong("no end of an object");
        }
        return object;
    }

    private List<Object> list(int depth) {
        List<Object> list = new ArrayList<>();
        at++;
        if (next(']')) {
            return list;
        }
        do {
            list.add(value(depth + 1));
        } while (next(','));
        if (!next(']')) {
            throw wrong("no end of a list");
        }
        return list;
    }

    private String string() {
        if (peek() != '"') {
            throw wrong("no string");
        }
        StringBuilder out = new StringBuilder();
        for (at++; peek() != '"'; at++) {
            char c = peek();
            if (c < ' ') {
                throw wrong("a control character in a string");
            }
            out.append(c == '\\' ? escaped() : c);
        }
        at++;
        return out.toString();
    }

    private char escaped() {
        at++;
        char c = peek();
        if (c == 'u' && at + 4 < text.length()) {
            int code = 0;
            for (int i = 1; i <= 4; i++) {
                int digit = Character.digit(text.charAt(at + i), 16);
                if (digit < 0) {
                    throw wrong("a malformed escape");
                }
                code = code * 16 + digit;
            }
            at += 4;
            return (char) code;
        }
        int known = "\"\\/bfnrt".indexOf(c);
        if (known < 0) {
            throw wrong("an unknown escape");
        }
        return "\"\\/\b\f\n\r\t".charAt(known);
    }

    private Object number() {
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        try {
            return Double.valueOf(text.substring(from, at));
        } catch (NumberFormatException e) {
            at = from;
            throw wrong("no value");
        }
    }

    private Object word(String word, Object value) {
        if (!text.startsWith(word, at)) {
            throw wrong("no value");
        }
        at += word.length();
        return value;
    }

    private boolean next(char c) {
        blank();
        if (at < text.length() && text.charAt(at) == c) {
            at++;
            return true;
        }
        return false;
    }

    private void blank() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    private char peek() {
        if (at >= text.length()) {
            throw wrong("it ends too soon");
        }
        return text.charAt(at);
    }

    private IllegalArgumentException wrong(String what) {
        return new IllegalArgumentException("JSON, character " + at + ": " + what);
    }
}
