package io.rhubarbward.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 in hexadecimal: names chunks, and stands for bearer keys in settings. */
public final class Sha256 {
    private Sha256() {}

    /** Returns the digest of the text in UTF-8, as 64 lower-case hexadecimal digits. */
    public static String of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the digest of the bytes, as 64 lower-case hexadecimal digits. */
    public static String of(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every JDK", e);
        }
    }
}
