package io.rhubarbward.config;

/**
 * A place in a settings file.
 *
 * @param file the file's name
 * @param line the line, from 1
 * @param column the column, from 1
 */
public record SourceLocation(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
