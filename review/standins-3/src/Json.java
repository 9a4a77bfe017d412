import java.util.LinkedHashMap;
import java.util.Map;

/** Splits JSON objects into their members, each as the text that stands there. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    /** Returns the members of an object, as JSON text. */
    static Map<String, String> members(String object) {
        return new Json(object).readMembers();
    }

    /** Returns the text of a JSON string without its quotes. */
    static String string(String json) {
        return json == null ? "" : json.replaceAll("^\"|\"$", "");
    }

    private Map<String, String> readMembers() {
        Map<String, String> members = new LinkedHashMap<>();
        expect('{');
        while (peek() != '}') {
            String name = string(readValue());
            expect(':');
            members.put(name, readValue());
            if (peek() == ',') {
                mAt++;
            }
        }
        return members;
    }

    private char peek() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private void expect(char wanted) {
        if (peek() != wanted) {
            throw new IllegalArgumentException("expected " + wanted + " at " + mAt + ": " + mText);
        }
        mAt++;
    }

    private String readValue() {
        peek();
        int start = mAt;
        int depth = 0;
        boolean quoted = false;
        for (; mAt < mText.length(); mAt++) {
            char next = mText.charAt(mAt);
            if (quoted) {
                if (next == '\\') {
                    mAt++;
                } else if (next == '"') {
                    quoted = false;
                }
                continue;
            }
            if (next == '"') {
                quoted = true;
            } else if (next == '{' || next == '[') {
                depth++;
            } else if (depth > 0 && (next == '}' || next == ']')) {
                depth--;
            } else if (depth == 0 && (next == ',' || next == ':' || next == '}')) {
                break;
            }
        }
        return mText.substring(start, mAt).trim();
    }
}
