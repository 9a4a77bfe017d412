package io.rhubarbward.move;

import java.util.stream.IntStream;

/** Logarithms of factorials and binomial coefficients. */
final class LogFactorial {
    private static final int TABLE_SIZE = 1024;
    private static final double[] TABLE = table();

    private LogFactorial() {}

    static double logBinomial(int n, int k) {
        return of(n) - of(k) - of(n - k);
    }

    /** Returns ln(n!). Above the table it uses Stirling's series, with an error below 1e-12. */
    static double of(int n) {
        if (n < TABLE_SIZE) {
            return TABLE[n];
        }
        double x = n;
        return x * Math.log(x)
                - x
                + Math.log(2 * Math.PI * x) / 2
                + 1 / (12 * x)
                - 1 / (360 * x * x * x);
    }

    private static double[] table() {
        double[] logs =
                IntStream.range(0, TABLE_SIZE).mapToDouble(n -> Math.log(Math.max(1, n))).toArray();
        java.util.Arrays.parallelPrefix(logs, Double::sum);
        return logs;
    }
}
