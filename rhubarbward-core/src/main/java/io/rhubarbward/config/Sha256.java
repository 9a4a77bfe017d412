package io.rhubarbward.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests in hexadecimal, such as the names of chunks and the digests of keys. */
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
            throw new IllegalStateException(
                    "no SHA-256 message digest, which every Java platform must provide", e);
        }
    }
}
