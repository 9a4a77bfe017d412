package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Parses JSON text into maps, lists, strings, numbers as text, booleans and null; writes it. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    /** A number as it is written. */
    record Number(String text) {}

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : Map.of();
    }

    private Object value() {
        skipSpace();
        char next = mText.charAt(mAt);
        return switch (next) {
            case '{' -> map();
            case '[' -> list();
            case '"' -> string();
            default -> word();
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> members = new LinkedHashMap<>();
        mAt++;
        skipSpace();
        while (mText.charAt(mAt) != '}') {
            String name = string();
            skipSpace();
            mAt++;
            members.put(name, value());
            skipSeparator();
        }
        mAt++;
        return members;
    }

    private List<Object> list() {
        List<Object> elements = new ArrayList<>();
        mAt++;
        skipSpace();
        while (mText.charAt(mAt) != ']') {
            elements.add(value());
            skipSeparator();
        }
        mAt++;
        return elements;
    }

    private void skipSeparator() {
        skipSpace();
        if (mText.charAt(mAt) == ',') {
            mAt++;
            skipSpace();
        }
    }

    private String string() {
        StringBuilder text = new StringBuilder();
        mAt++;
        while (mText.charAt(mAt) != '"') {
            char next = mText.charAt(mAt++);
            text.append(next == '\\' ? escaped() : next);
        }
        mAt++;
        return text.toString();
    }

    private char escaped() {
        char next = mText.charAt(mAt++);
        if (next == 'u') {
            mAt += 4;
            return (char) Integer.parseInt(mText.substring(mAt - 4, mAt), 16);
        }
        return switch (next) {
            case 'n' -> '\n';
            case 't' -> '\t';
            case 'r' -> '\r';
            default -> next;
        };
    }

    private Object word() {
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> new Number(word);
        };
    }

    private void skipSpace() {
        while (mAt < mText.length() && Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map.entrySet().stream()
                    .map(entry -> write(entry.getKey()) + ":" + write(entry.getValue()))
                    .collect(Collectors.joining(",", "{", "}"));
        }
        if (value instanceof List<?> list) {
            return list.stream().map(Json::write).collect(Collectors.joining(",", "[", "]"));
        }
        if (value instanceof String text) {
            return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
        return value instanceof Number number ? number.text() : String.valueOf(value);
    }
}
